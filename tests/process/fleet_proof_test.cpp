#include "deployment.h"
#include "deployment_watch.h"
#include "proof_check.h"

#include "record_client.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <csignal>

namespace sardinespoke {
namespace {

using namespace std::chrono_literals;

constexpr uint64_t kSeed = 20261209;
constexpr uint32_t kMaxUnavailableHosts =
  1; // max_unavailable_hosts of every profile in the example.
// Property P6: a host gets no new runs later than this after it was marked leaving.
constexpr int64_t kLeavingLimitUs = 3'000'000;

std::vector<RunEntry>
Runs(const Deployment& aDeployment)
{
  const auto record = FetchRecord(aDeployment.ControlAddress());
  EXPECT_TRUE(record);
  return record ? record->runs_ : std::vector<RunEntry>();
}

/// @returns Number of hosts on which the roll-out has completed maintenance.
size_t
MaintainedHosts(Deployment& aDeployment)
{
  const auto fleet = aDeployment.StoredFleet();
  if (!fleet) {
    return 0;
  }
  return static_cast<size_t>(
    std::count_if(fleet->hosts_.begin(), fleet->hosts_.end(), [&](const auto& aHost) {
      return aHost.second.maintainedRollout_ == fleet->rollout_.number_;
    }));
}

/// Removes the hosts of a rack from the host list and stops their workers, or reverts both.
void
SetRackLost(Deployment& aDeployment, const std::vector<FleetHost>& aHosts, bool aLost)
{
  nlohmann::json add = nlohmann::json::array();
  nlohmann::json remove = nlohmann::json::array();
  for (const FleetHost& host : aHosts) {
    remove.push_back(host.id_);
    add.push_back({ { "id", host.id_ },
                    { "address", host.address_ },
                    { "rack", host.rack_ },
                    { "zone", host.zone_ },
                    { "region", host.region_ } });
    EXPECT_TRUE(
      aDeployment.SetWorkerFault(Deployment::WorkerIndex(host.id_), aLost ? "down" : "none"));
  }
  const nlohmann::json change =
    aLost ? nlohmann::json{ { "remove", remove } } : nlohmann::json{ { "add", add } };
  EXPECT_EQ(aDeployment.Platform("POST", "/hosts/v1/list", change.dump()).status_, 200);
}

/// P1: a roll-out must not exceed the availability budget when a rack is lost, the planner leader
/// is paused and resumed, and another entry host restarts.
TEST(ProofP1, RolloutKeepsAvailabilityBudget)
{
  Deployment deployment;
  ASSERT_TRUE(deployment.Start());
  BackgroundLoad load(deployment.Load(12s, kSeed));
  DeploymentWatch watch(deployment);
  const auto started =
    deployment.Admin(0, "POST", "/v1/maintenance", R"({"action":"start","author":"test"})");
  ASSERT_EQ(started.status_, 200) << started.body_.dump();
  EXPECT_TRUE(WaitUntil(10s, [&] { return MaintainedHosts(deployment) >= 3; }));

  const auto fleet = deployment.StoredFleet();
  ASSERT_TRUE(fleet);
  std::vector<FleetHost> rack;
  for (const auto& [id, host] : fleet->hosts_) {
    if (host.rack_ == "rack-0003") {
      rack.push_back(host);
    }
  }
  ASSERT_FALSE(rack.empty());
  SetRackLost(deployment, rack, true);
  const uint32_t holder = deployment.PlannerLeader();
  ASSERT_LT(holder, deployment.EntryCount());
  deployment.Entry(holder).Signal(SIGSTOP);
  const uint32_t other = (holder + 3) % deployment.EntryCount();
  deployment.Entry(other).Signal(SIGTERM);
  EXPECT_EQ(deployment.Entry(other).Wait(25s), 0);
  deployment.StartEntry(other);
  EXPECT_TRUE(WaitUntil(12s, [&] {
    const uint32_t next = deployment.PlannerLeader();
    return next != holder && next < deployment.EntryCount();
  }));
  // A host that was rebooting when its rack was lost keeps its state until the reboot timeout.
  const auto rackFailed = [&] {
    const auto seen = deployment.StoredFleet();
    return seen && std::any_of(rack.begin(), rack.end(), [&](const FleetHost& aHost) {
             const auto host = seen->hosts_.find(aHost.id_);
             return host != seen->hosts_.end() && host->second.state_ == HostState::Failed;
           });
  };
  EXPECT_TRUE(WaitUntil(10s, rackFailed)) << "the loss of the rack was not detected";
  deployment.Entry(holder).Signal(SIGCONT);
  SetRackLost(deployment, rack, false);
  const size_t before = MaintainedHosts(deployment);
  EXPECT_TRUE(WaitUntil(30s, [&] { return MaintainedHosts(deployment) >= before + 5; }))
    << "the roll-out stopped at " << MaintainedHosts(deployment) << " hosts";
  load.Wait();
  watch.Stop();
  const ProofResult result = CheckProof(load.History(), deployment.ControlAddress());
  const auto violations = watch.Fleet().BudgetViolations(kMaxUnavailableHosts);
  PrintFigures("P1",
               result.Summary() + " documents " + std::to_string(watch.Fleet().Spans().size()) +
                 " maintained " + std::to_string(MaintainedHosts(deployment)) + " most_rebooting " +
                 std::to_string(watch.MostRebooting()));
  EXPECT_TRUE(violations.empty()) << FirstLines(violations);
  // Mutant: the check must fail for a budget that is smaller by one.
  EXPECT_FALSE(watch.Fleet().BudgetViolations(kMaxUnavailableHosts - 1).empty());
  EXPECT_TRUE(watch.RebootViolations().empty()) << FirstLines(watch.RebootViolations());
  EXPECT_EQ(result.verdict_.violations_.size(), 0U) << result.Summary();
}

/// P2: no work may run on a host that has moved to another pool, neither from an entry host that
/// was paused during the move nor after a store write whose response was lost.
TEST(ProofP2, MovesHostsWhileEntryHostIsPaused)
{
  Deployment deployment;
  ASSERT_TRUE(deployment.Start());
  BackgroundLoad load(deployment.Load(24s, kSeed));
  DeploymentWatch watch(deployment);
  const auto inPool = [&](const std::string& aHost, const std::string& aPool) {
    const auto stored = deployment.StoredFleet();
    return stored && stored->hosts_.at(aHost).pool_ == aPool &&
           stored->hosts_.at(aHost).state_ == HostState::Serving;
  };
  // Moves a host to another pool while write responses of the store are lost.
  std::vector<std::string> spares;
  const auto fleet = deployment.StoredFleet();
  ASSERT_TRUE(fleet);
  for (const auto& [id, host] : fleet->hosts_) {
    if (host.pool_ == "members") {
      spares.push_back(id);
    }
  }
  ASSERT_GE(spares.size(), 3U);
  EXPECT_TRUE(WaitUntil(5s, [&] { return deployment.BeginMove(spares[0], "intake") > 0; }));
  ASSERT_TRUE(deployment.SetPlatformFaults({ { "lose_write_answers", 2 } }));
  EXPECT_TRUE(WaitUntil(20s, [&] { return inPool(spares[0], "intake"); }));
  // A move waits until a paused entry host has certainly stopped dispatching.
  const uint32_t paused = (deployment.PlannerLeader() + 2) % deployment.EntryCount();
  deployment.Entry(paused).Signal(SIGSTOP);
  EXPECT_TRUE(WaitUntil(5s, [&] { return deployment.BeginMove(spares[1], "ledger") > 0; }));
  ASSERT_TRUE(deployment.SetPlatformFaults({ { "lose_write_answers", 2 } }));
  EXPECT_TRUE(WaitUntil(25s, [&] { return inPool(spares[1], "ledger"); }));
  deployment.Entry(paused).Signal(SIGCONT);
  EXPECT_TRUE(WaitUntil(20s, [&] { return deployment.AllEntriesServe(); }));
  load.Wait();
  watch.Stop();
  const ProofResult result = CheckProof(load.History(), deployment.ControlAddress());
  const auto runs = Runs(deployment);
  const auto& services = deployment.Profiles().at("services");
  const auto wrong = watch.Fleet().WrongPoolRuns(runs, services);
  PrintFigures("P2",
               result.Summary() + " moves " + std::to_string(watch.Fleet().Moves()) +
                 " wrong_pool_runs " + std::to_string(wrong.size()));
  EXPECT_GE(watch.Fleet().Moves(), 2U);
  EXPECT_TRUE(wrong.empty()) << FirstLines(wrong);
  EXPECT_EQ(result.verdict_.violations_.size(), 0U) << result.Summary();

  // Mutant: the check must fail for a worker that runs a request of another pool.
  auto mutant = runs;
  mutant.front().service_ = mutant.front().service_ == "births" ? "walks" : "births";
  EXPECT_EQ(watch.Fleet().WrongPoolRuns(mutant, services).size(), 1U);
}

/// P6: a leaving host must get no new work while the store is down, nor from an entry host that was
/// paused when the host list marked it.
TEST(ProofP6, LeavingHostsGetNoNewWork)
{
  Deployment deployment;
  ASSERT_TRUE(deployment.Start());
  BackgroundLoad load(deployment.Load(14s, kSeed));
  std::vector<std::string> serving;
  const auto fleet = deployment.StoredFleet();
  ASSERT_TRUE(fleet);
  for (const auto& [id, host] : fleet->hosts_) {
    if (host.pool_ == "intake" && host.state_ == HostState::Serving) {
      serving.push_back(id);
    }
  }
  ASSERT_GE(serving.size(), 2U);
  std::map<uint32_t, int64_t> markedUs;
  const auto mark = [&](const std::string& aHost) {
    const nlohmann::json change = { { "leaving", { aHost } } };
    EXPECT_EQ(deployment.Platform("POST", "/hosts/v1/list", change.dump()).status_, 200);
    markedUs[Deployment::WorkerIndex(aHost)] = NowUs();
  };
  const auto passed = [&](const std::string& aHost) {
    constexpr int64_t kMarginUs = 500'000;
    return NowUs() > markedUs[Deployment::WorkerIndex(aHost)] + kLeavingLimitUs + kMarginUs;
  };
  const auto ranAt = [&](const std::string& aHost) {
    const auto runs = Runs(deployment);
    return std::any_of(runs.begin(), runs.end(), [&](const RunEntry& aRun) {
      return aRun.worker_ == Deployment::WorkerIndex(aHost);
    });
  };
  EXPECT_TRUE(WaitUntil(5s, [&] { return ranAt(serving[0]) && ranAt(serving[1]); }));
  ASSERT_TRUE(deployment.SetPlatformFaults({ { "store_down", true } }));
  mark(serving[0]);
  EXPECT_TRUE(WaitUntil(5s, [&] { return passed(serving[0]); }));
  ASSERT_TRUE(deployment.SetPlatformFaults({ { "store_down", false } }));
  EXPECT_TRUE(WaitUntil(8s, [&] { return deployment.AllEntriesServe(); }));
  deployment.Entry(1).Signal(SIGSTOP);
  mark(serving[1]);
  EXPECT_TRUE(WaitUntil(5s, [&] { return passed(serving[1]); }));
  deployment.Entry(1).Signal(SIGCONT);
  load.Wait();
  const ProofResult result = CheckProof(load.History(), deployment.ControlAddress());
  int64_t latestUs = 0;
  uint64_t late = 0;
  const auto check = [&](const std::vector<RunEntry>& aRuns) {
    late = 0;
    for (const RunEntry& run : aRuns) {
      const auto marked = markedUs.find(run.worker_);
      if (marked == markedUs.end()) {
        continue;
      }
      latestUs = std::max(latestUs, run.startUs_ - marked->second);
      late += run.startUs_ > marked->second + kLeavingLimitUs ? 1 : 0;
    }
    return late;
  };
  auto runs = Runs(deployment);
  EXPECT_EQ(check(runs), 0U) << "latest start " << latestUs << " us after the mark";
  PrintFigures("P6", result.Summary() + " latest_start_us " + std::to_string(latestUs));
  EXPECT_EQ(result.verdict_.violations_.size(), 0U) << result.Summary();
  // Mutant: the check must fail for a run that starts after the limit.
  runs.front().worker_ = Deployment::WorkerIndex(serving[0]);
  runs.front().startUs_ = markedUs[Deployment::WorkerIndex(serving[0])] + kLeavingLimitUs + 1;
  EXPECT_EQ(check(runs), 1U);
}

}
}
