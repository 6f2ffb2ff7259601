#include "deployment_watch.h"
#include "fault_injector.h"
#include "proof_check.h"

#include "record_client.h"

#include <gtest/gtest.h>

#include <cstdlib>

namespace sardinespoke {
namespace {

using namespace std::chrono_literals;

// Property P6: a host gets no new runs later than this after it was marked leaving.
constexpr int64_t kLeavingLimitUs = 3'000'000;

uint64_t
NumberFromEnvironment(const char* aVariable, uint64_t aDefault)
{
  const char* text = std::getenv(aVariable);
  return text == nullptr ? aDefault : std::strtoull(text, nullptr, 10);
}

/// @returns Runs that violate P6: started on a leaving host after kLeavingLimitUs.
std::vector<std::string>
RunsOnLeavingHosts(const std::vector<RunEntry>& aRuns,
                   const std::vector<FaultInjector::LeavingHost>& aLeaving)
{
  std::vector<std::string> runsOnLeaving;
  for (const RunEntry& run : aRuns) {
    for (const FaultInjector::LeavingHost& host : aLeaving) {
      const bool tooLate = run.worker_ == host.worker_ && run.startUs_ < host.untilUs_ &&
                           run.startUs_ > host.fromUs_ + kLeavingLimitUs;
      if (tooLate) {
        runsOnLeaving.push_back(run.attempt_ + " started on " + Deployment::HostId(run.worker_) +
                                " " + std::to_string(run.startUs_ - host.fromUs_) +
                                " us after the mark");
      }
    }
  }
  return runsOnLeaving;
}

/// Properties P1 to P8 of the design must hold under combined and repeated faults. SOAK_SEED and
/// SOAK_SECONDS set the seed and the duration; "make soak" runs it longer.
TEST(ProofCombined, RandomFaultsBreakNoProperty)
{
  const uint64_t seed = NumberFromEnvironment("SOAK_SEED", 20261204);
  const std::chrono::seconds duration(NumberFromEnvironment("SOAK_SECONDS", 10));
  Deployment deployment;
  ASSERT_TRUE(deployment.Start());
  BackgroundLoad load(deployment.Load(duration + 2s, seed));
  DeploymentWatch watch(deployment);
  const auto startReply =
    deployment.Admin(0, "POST", "/v1/maintenance", R"({"action":"start","author":"test"})");
  EXPECT_EQ(startReply.status_, 200);
  FaultInjector faults(deployment, seed);
  const auto end = std::chrono::steady_clock::now() + duration;
  while (std::chrono::steady_clock::now() < end) {
    faults.Step();
    std::this_thread::sleep_for(300ms); // Interval between two faults.
  }
  EXPECT_TRUE(faults.Recover()) << "not all entry hosts serve after the faults have ended";
  EXPECT_TRUE(WaitUntil(
    16s,
    [&] {
      for (uint32_t entry = 0; entry < deployment.EntryCount(); ++entry) {
        const auto status = deployment.Admin(entry, "GET", "/v1/status", "", 500ms);
        if (status.status_ != 200 ||
            status.body_.at("profiles_revision").get<uint64_t>() < faults.AcceptedRevision()) {
          return false;
        }
      }
      return true;
    }))
    << "P8: revision " << faults.AcceptedRevision() << " is not in force everywhere";
  load.Wait();
  watch.Stop();
  const auto record = FetchRecord(deployment.ControlAddress());
  ASSERT_TRUE(record);
  const ProofResult result = CheckProof(load.History(), record->runs_, record->dropped_);
  const auto wrongPool =
    watch.Fleet().WrongPoolRuns(record->runs_, deployment.Profiles().at("services"));
  const auto budget = watch.Fleet().BudgetViolations(1);
  const auto runsOnLeaving = RunsOnLeavingHosts(record->runs_, faults.LeavingHosts());
  PrintFigures("combined seed " + std::to_string(seed),
               result.Summary() + " moves " + std::to_string(watch.Fleet().Moves()) +
                 " documents " + std::to_string(watch.Fleet().Spans().size()) + " status_samples " +
                 std::to_string(watch.Revisions().Samples()) + " faults " + faults.Summary());
  EXPECT_EQ(result.verdict_.violations_.size(), 0U) << "P3, P4, P5: " << result.Summary();
  EXPECT_GT(result.ok_, 100U) << result.Summary();
  EXPECT_TRUE(budget.empty()) << "P1: " << FirstLines(budget);
  EXPECT_TRUE(watch.RebootViolations().empty()) << "P1: " << FirstLines(watch.RebootViolations());
  EXPECT_TRUE(wrongPool.empty()) << "P2: " << FirstLines(wrongPool);
  EXPECT_TRUE(runsOnLeaving.empty()) << "P6: " << FirstLines(runsOnLeaving);
  EXPECT_TRUE(faults.BadExits().empty()) << "P7: " << FirstLines(faults.BadExits());
  EXPECT_TRUE(watch.Revisions().Reverts().empty())
    << "P8: " << FirstLines(watch.Revisions().Reverts());
}

}
}
