#pragma once

#include "deployment.h"

#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace sardinespoke {

/// A random sequence of faults and planned changes, chosen by a seed. Up to two entry hosts are
/// frozen or gone at once, so that the others can go on.
class FaultMix
{
public:
  FaultMix(Deployment& aDeployment, uint64_t aSeed);

  /// Starts or ends one fault, or makes one planned change.
  void Step();

  /// Ends all faults and restarts what is missing. @returns Whether all entry hosts serve again.
  bool Recover();

  /// A host that was shown as leaving, and the times of the mark and of its end.
  struct Leaving
  {
    uint32_t worker_ = 0;
    int64_t fromUs_ = 0;
    int64_t untilUs_ = INT64_MAX;
  };

  const std::vector<Leaving>& LeavingHosts() const { return leaving_; }

  /// @returns Exit codes other than 0 of daemons that were stopped with SIGTERM.
  const std::vector<std::string>& BadExits() const { return badExits_; }

  /// @returns Greatest revision of an accepted profile change.
  uint64_t AcceptedRevision() const { return accepted_; }

  /// @returns How often each fault was used.
  std::string Text() const;

private:
  using Action = void (FaultMix::*)();

  void Freeze();
  void Resume();
  void Kill();
  void Restart();
  void Terminate();
  void StoreDown();
  void StoreUp();
  void LoseAnswers();
  void SlowStore();
  void ExpireLeases();
  void BreakWorker();
  void MoveHost();
  void EditProfile();
  void MarkLeaving();
  void EndLeaving();

  uint32_t Pick(uint32_t aCount) { return static_cast<uint32_t>(random_() % aCount); }
  uint32_t PickRunning();
  bool MayTakeEntry() const { return frozen_.size() + gone_.size() < 2; }

  Deployment& deployment_;
  std::mt19937_64 random_;
  std::set<uint32_t> frozen_;
  std::set<uint32_t> gone_;
  std::set<uint32_t> brokenWorkers_;
  std::vector<Leaving> leaving_;
  std::vector<std::string> badExits_;
  std::map<std::string, uint32_t> used_;
  uint64_t accepted_ = 0;
  uint32_t edits_ = 0;
};

}
