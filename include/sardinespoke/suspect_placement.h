#pragma once

#include "sardinespoke/backend_table.h"

#include <vector>

namespace sardinespoke {

/// Keeps suspects, tasks under which backend servers have crashed, apart: while one is in question,
/// no other task is started beside it, and it is started beside proven runs only. A bounded number
/// of backend servers is reserved for them at a time.
class SuspectPlacement
{
public:
  SuspectPlacement(BackendTable& aBackends, const ClockI& aClock);

  /// Call before the tasks of a round are placed.
  void BeginRound() { claimed_.clear(); }

  /// @returns True if a task that is no suspect may be started there.
  bool Admits(const Backend& aBackend) const;

  /// @returns True if no run there is in question.
  static bool IsClean(const Backend& aBackend);

  /// Chooses a place for a suspect, or reserves one that is not free of other runs in question yet.
  /// @param aPool The backend servers of its pool, of which a part may be reserved.
  /// @param aEligible Those that meet the task's constraints, free or not.
  /// @returns Where to start it now; invalid if it has to wait.
  BackendHandle Place(const std::vector<BackendHandle>& aPool,
                      const std::vector<BackendHandle>& aEligible,
                      const Resources& aNeed);

  /// Reserves a place of a group in question until all its places are free.
  void Reserve(BackendHandle aBackend);

private:
  bool IsReserved(const Backend& aBackend) const;
  bool IsInUse(const Backend& aBackend) const;
  bool IsClaimed(BackendHandle aBackend) const;

  BackendTable& backends_;
  const ClockI& clock_;
  std::vector<BackendHandle> claimed_; ///< Reserved for the suspects of this round.
};

}
