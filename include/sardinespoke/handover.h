#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace sardinespoke {

/// What a leader that resigns leaves to its successor.
struct Handover
{
  int64_t fencingToken_ = 0; ///< Of the leader that resigned; 0: there is no handover.
  /// Time left until the runs on a backend server have lapsed if it does not respond, by its id.
  std::map<std::string, std::chrono::milliseconds> remainingLeases_;

  /// @returns Compact JSON text that Parse() reads back to an equal value.
  std::string Serialize() const;

  /// @returns An empty handover if the text cannot be read.
  static Handover Parse(const std::string& aText);
};

}
