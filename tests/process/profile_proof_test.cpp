#include "deployment.h"
#include "deployment_watch.h"
#include "proof_check.h"

#include <gtest/gtest.h>

#include <csignal>
#include <future>

namespace sardinespoke {
namespace {

using namespace std::chrono_literals;

constexpr auto kStoreUpPropagationLimit = 2s;
constexpr auto kOneFaultPropagationLimit = 16s;

/// Edits one profile and waits until the edits are in force.
class ProfileEdits
{
public:
  explicit ProfileEdits(Deployment& aDeployment)
    : deployment_(aDeployment)
  {
    profile_ = aDeployment.Profiles().at("profiles").at("buyers-batch");
  }

  uint64_t Revision(uint32_t aEntry)
  {
    const auto status = deployment_.Admin(aEntry, "GET", "/v1/status", "", 300ms);
    return status.status_ == 200 ? status.body_.at("profiles_revision").get<uint64_t>() : 0;
  }

  /// Sends a change through an entry host. @returns The response.
  CallResult Put(uint32_t aEntry, uint64_t aBase, const std::string& aChangeId)
  {
    nlohmann::json profile = profile_;
    profile["queue_length"] = 100 + (++edits_);
    return deployment_.PutProfile(aEntry, "buyers-batch", profile, aChangeId, aBase);
  }

  /// Retries a change with the same id until its outcome is known. @returns Its revision; 0 if it
  /// conflicts with another change.
  uint64_t PutUntilKnown(uint32_t aEntry, uint64_t aBase, const std::string& aChangeId)
  {
    CallResult response;
    WaitUntil(kOneFaultPropagationLimit, [&] {
      response = Put(aEntry, aBase, aChangeId);
      return response.status_ == 200 || response.status_ == 409;
    });
    return response.status_ == 200 ? response.body_.at("revision").get<uint64_t>() : 0;
  }

  bool WaitUntilInForce(uint64_t aRevision, std::chrono::milliseconds aLimit)
  {
    const auto start = std::chrono::steady_clock::now();
    const bool done = WaitUntil(aLimit, [&] {
      for (uint32_t entry = 0; entry < deployment_.EntryCount(); ++entry) {
        if (Revision(entry) < aRevision) {
          return false;
        }
      }
      return true;
    });
    const auto taken = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::steady_clock::now() - start);
    longestDelay_ = std::max(longestDelay_, taken);
    return done;
  }

  /// @returns The longest delay since the last call.
  std::chrono::milliseconds TakeLongestDelay() { return std::exchange(longestDelay_, 0ms); }

private:
  Deployment& deployment_;
  nlohmann::json profile_;
  std::atomic<uint32_t> edits_{ 0 };
  std::chrono::milliseconds longestDelay_{ 0 };
};

/// P8: only one change to a revision may be accepted, and an accepted change must be in force in
/// time and stay so. Covers racing operators, a lost response, a restored store and a daemon that
/// starts during a store outage.
TEST(ProofP8, AcceptedChangesReachAllDaemonsAndStay)
{
  Deployment deployment;
  ASSERT_TRUE(deployment.Start());
  DeploymentWatch watch(deployment);
  ProfileEdits edits(deployment);
  for (uint32_t round = 0; round < 5; ++round) {
    const uint64_t base = edits.Revision(0);
    const std::string id = "race-" + std::to_string(round);
    auto first = std::async(std::launch::async, [&] { return edits.Put(0, base, id + "-a"); });
    const CallResult second = edits.Put(1 + round, base, id + "-b");
    const CallResult winner = first.get();
    EXPECT_EQ((winner.status_ == 200) + (second.status_ == 200), 1)
      << winner.status_ << " and " << second.status_;
    EXPECT_EQ((winner.status_ == 409) + (second.status_ == 409), 1);
    EXPECT_TRUE(edits.WaitUntilInForce(base + 1, kStoreUpPropagationLimit)) << "round " << round;
  }
  const auto raced = edits.TakeLongestDelay();

  ASSERT_TRUE(deployment.SetPlatformFaults({ { "lose_write_answers", 1 } }));
  uint64_t base = edits.Revision(2);
  EXPECT_EQ(edits.PutUntilKnown(2, base, "lost"), base + 1);
  EXPECT_TRUE(edits.WaitUntilInForce(base + 1, kOneFaultPropagationLimit));
  const auto lost = edits.TakeLongestDelay();

  ASSERT_TRUE(deployment.SetPlatformFaults({ { "take_snapshot", "old" } }));
  base = edits.Revision(3);
  EXPECT_EQ(edits.PutUntilKnown(3, base, "before-restore"), base + 1);
  EXPECT_TRUE(edits.WaitUntilInForce(base + 1, kStoreUpPropagationLimit));
  ASSERT_TRUE(deployment.SetPlatformFaults({ { "restart_with", "old" } }));
  uint64_t accepted = 0;
  EXPECT_TRUE(WaitUntil(kOneFaultPropagationLimit, [&] {
    accepted = edits.PutUntilKnown(4, edits.Revision(4), "after-restore");
    return accepted > 0;
  }));
  EXPECT_EQ(accepted, base + 2);
  EXPECT_TRUE(edits.WaitUntilInForce(accepted, kOneFaultPropagationLimit));
  const auto restored = edits.TakeLongestDelay();

  EXPECT_TRUE(WaitUntil(15s, [&] { return deployment.AllEntriesServe(); }));
  ASSERT_TRUE(deployment.SetPlatformFaults({ { "store_down", true } }));
  deployment.Entry(5).Signal(SIGKILL);
  deployment.Entry(5).Wait(5s);
  deployment.StartEntry(5);
  EXPECT_TRUE(edits.WaitUntilInForce(accepted, kOneFaultPropagationLimit))
    << "daemon started during a store outage";
  const auto fresh = edits.TakeLongestDelay();
  ASSERT_TRUE(deployment.SetPlatformFaults({ { "store_down", false } }));
  accepted = edits.PutUntilKnown(5, accepted, "after-outage");
  EXPECT_GT(accepted, 0U);
  EXPECT_TRUE(edits.WaitUntilInForce(accepted, kOneFaultPropagationLimit));
  const auto after = edits.TakeLongestDelay();

  watch.Stop();
  EXPECT_TRUE(watch.Revisions().Reverts().empty()) << FirstLines(watch.Revisions().Reverts());
  EXPECT_GT(watch.Revisions().Samples(), 100U);
  // Mutant: the check must fail for a daemon that returns to the previous revision.
  RevisionLog mutant = watch.Revisions();
  nlohmann::json status = deployment.Admin(0, "GET", "/v1/status").body_;
  mutant.Add(status);
  status["profiles_revision"] = accepted - 1;
  mutant.Add(status);
  EXPECT_EQ(mutant.Reverts().size(), 1U);
  PrintFigures("P8",
               "raced_ms " + std::to_string(raced.count()) + " lost_answer_ms " +
                 std::to_string(lost.count()) + " restored_ms " + std::to_string(restored.count()) +
                 " fresh_in_outage_ms " + std::to_string(fresh.count()) + " after_outage_ms " +
                 std::to_string(after.count()) + " status_samples " +
                 std::to_string(watch.Revisions().Samples()));
}

}
}
