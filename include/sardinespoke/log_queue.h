#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <string_view>

namespace sardinespoke {

/// Log lines that wait for a reader that does not keep up. Bounded: lines that do not fit are
/// dropped and counted. Not thread-safe.
class LogQueue
{
public:
  /// @param aCapacity Bytes of lines that may wait.
  /// @param aReserve Part of it for important lines.
  LogQueue(size_t aCapacity, size_t aReserve);

  /// Adds a line, or drops and counts it.
  /// @param aIsImportant Whether it may use the reserve.
  /// @returns False if it was dropped.
  bool Push(std::string aLine, bool aIsImportant);

  /// @param aIsImportant Whether the lines may use the reserve.
  /// @returns Whether lines of this many bytes would not be dropped now.
  bool Fits(size_t aBytes, bool aIsImportant) const;

  /// Writes lines in their order.
  /// @param aWrite Takes the beginning of a text; returns how many bytes, 0 if none for now.
  void Drain(const std::function<size_t(std::string_view)>& aWrite);

  bool IsEmpty() const { return lines_.empty(); }
  uint64_t Dropped() const { return dropped_; } ///< Since the start.

private:
  const size_t capacity_;
  const size_t reserve_;
  std::deque<std::string> lines_;
  size_t bytes_ = 0;
  size_t written_ = 0; ///< Bytes of the first line that were written.
  uint64_t dropped_ = 0;
};

}
