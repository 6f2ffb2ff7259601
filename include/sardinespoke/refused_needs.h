#pragma once

#include "sardinespoke/backend_entry.h"

#include <algorithm>
#include <vector>

namespace sardinespoke {

/// Needs that no backend server of a pool could take in one round of placement.
///
/// Load pattern: hundreds of jobs wait for a pool that is full. Free capacity only shrinks within a
/// round, so what needs at least as much as a refused need is refused without asking each backend
/// server.
class RefusedNeeds
{
public:
  /// Adds a need that could be placed anywhere in the pool if there were room.
  void Add(const Resources& aNeed)
  {
    std::erase_if(smallest_,
                  [&aNeed](const Resources& aOther) { return IsAtLeast(aOther, aNeed); });
    smallest_.push_back(aNeed);
  }

  /// @returns True if a need cannot be placed in this round.
  bool Includes(const Resources& aNeed) const
  {
    return std::any_of(smallest_.begin(), smallest_.end(), [&aNeed](const Resources& aRefused) {
      return IsAtLeast(aNeed, aRefused);
    });
  }

private:
  static bool IsAtLeast(const Resources& aNeed, const Resources& aOther)
  {
    return aNeed.cpuMilli_ >= aOther.cpuMilli_ && aNeed.memoryMb_ >= aOther.memoryMb_ &&
           aNeed.accelerators_ >= aOther.accelerators_;
  }

  std::vector<Resources> smallest_; ///< None is at least as large as another one.
};

}
