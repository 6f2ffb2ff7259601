#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace sardinespoke {

/// A start that a later incarnation of its backend server may still carry out.
struct OpenStart
{
  std::string backend_; ///< Id of the backend server.
  std::string host_;    ///< Of the backend server.
  std::string task_;
  int64_t run_ = 0;
  std::chrono::milliseconds age_{ 0 }; ///< Time since it was sent first.
  bool blocksTask_ = false;            ///< The task must not start elsewhere yet.

  bool operator==(const OpenStart& aOther) const = default;
};

/// What a leader that resigns leaves to its successor.
struct Handover
{
  int64_t fencingToken_ = 0; ///< Of the leader that resigned; 0: there is no handover.
  /// Time left until the runs on a backend server have lapsed if it does not respond, by its id.
  std::map<std::string, std::chrono::milliseconds> remainingLeases_;
  std::vector<OpenStart> openStarts_;

  /// Removes starts that would not fit in a record of the store: first those that block no task,
  /// then the oldest ones.
  void LimitOpenStarts();

  /// @returns Compact JSON text that Parse() reads back to an equal value.
  std::string Serialize() const;

  /// @returns An empty handover if the text cannot be read.
  static Handover Parse(const std::string& aText);
};

}
