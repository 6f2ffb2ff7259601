#pragma once

#include "sardinespoke/log_queue.h"

#include <log4cplus/appender.h>

#include <atomic>

namespace sardinespoke {

/// Writes log lines to a descriptor without waiting for its reader. What the reader does not take
/// waits in a queue.
class StreamAppender final : public log4cplus::Appender
{
public:
  /// Logger of the lines that may use the reserve of the queue, beside warnings and errors.
  static constexpr char kImportantLogger[] = "lifecycle";

  explicit StreamAppender(int aDescriptor);
  ~StreamAppender() override;

  void close() override;

  /// Writes waiting lines, as far as the reader takes them.
  void Flush();

  uint64_t Dropped() const { return dropped_; }

protected:
  void append(const log4cplus::spi::InternalLoggingEvent& aEvent) override;

private:
  std::string Format(const log4cplus::spi::InternalLoggingEvent& aEvent) const;
  void Drain();
  /// @returns Bytes written; 0 if the reader takes none now.
  size_t Write(std::string_view aText) const;

  const int descriptor_;
  LogQueue queue_;
  uint64_t reportedDropped_ = 0;
  std::atomic<uint64_t> dropped_{ 0 };
};

}
