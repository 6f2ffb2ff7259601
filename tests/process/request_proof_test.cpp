#include "deployment.h"
#include "proof_check.h"

#include "record_client.h"
#include "sardinespoke/curl_backend_link.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <csignal>

namespace sardinespoke {
namespace {

using namespace std::chrono_literals;

constexpr uint64_t kSeed = 20261204;

/// Also requires enough successful requests, so that an empty history does not pass.
void
ExpectNoViolation(const ProofResult& aResult)
{
  EXPECT_EQ(aResult.verdict_.violations_.size(), 0U) << aResult.Summary();
  EXPECT_GT(aResult.ok_, 500U) << aResult.Summary();
}

/// @returns The first serving worker of a pool; 0 if there is none.
uint32_t
WorkerIn(Deployment& aDeployment, const std::string& aPool)
{
  const auto fleet = aDeployment.StoredFleet();
  for (const auto& [id, host] : fleet->hosts_) {
    if (host.pool_ == aPool && host.state_ == HostState::Serving) {
      return Deployment::WorkerIndex(id);
    }
  }
  return 0;
}

/// Waits until a worker has run more requests, so that a fault on it affects requests.
bool
WaitForRuns(Deployment& aDeployment, uint32_t aWorker, size_t aMore)
{
  const auto count = [&] {
    const auto record = FetchRecord(aDeployment.ControlAddress());
    size_t runs = 0;
    for (const RunEntry& run : record ? record->runs_ : std::vector<RunEntry>()) {
      runs += run.worker_ == aWorker ? 1 : 0;
    }
    return runs;
  };
  const size_t before = count();
  return WaitUntil(5s, [&] { return count() >= before + aMore; });
}

/// P3: callers must get no truncated response and no response to another request when workers
/// respond late, with short bodies, out of order or mixed up, or stop during a request.
TEST(ProofP3, ResponsesAreCompleteAndMatchRequests)
{
  Deployment deployment;
  ASSERT_TRUE(deployment.Start());
  BackgroundLoad load(deployment.Load(8s, kSeed));
  FaultWindows windows;
  windows.Open();
  const uint32_t late = WorkerIn(deployment, "intake");
  const uint32_t shorter = WorkerIn(deployment, "ledger");
  const uint32_t disordered = WorkerIn(deployment, "routes");
  const uint32_t dying = WorkerIn(deployment, "reports");
  const uint32_t mixedUp = WorkerIn(deployment, "members");
  ASSERT_TRUE(deployment.SetWorkerFault(late, "late-answer"));
  ASSERT_TRUE(deployment.SetWorkerFault(shorter, "short-body"));
  ASSERT_TRUE(deployment.SetWorkerFault(disordered, "out-of-order"));
  ASSERT_TRUE(deployment.SetWorkerFault(mixedUp, "mixed-up"));
  EXPECT_TRUE(WaitForRuns(deployment, disordered, 5));
  for (int round = 0; round < 3 && load.IsRunning(); ++round) {
    ASSERT_TRUE(deployment.SetWorkerFault(dying, "none"));
    WaitForRuns(deployment, dying, 1);
    ASSERT_TRUE(deployment.SetWorkerFault(dying, "down"));
  }
  load.Wait();
  windows.Close();
  const ProofResult result = CheckProof(load.History(), deployment.ControlAddress(), windows);
  PrintFigures("P3", result.Summary());
  ExpectNoViolation(result);
}

/// Mutant of P3: the check must fail for workers that return the response to the previous request
/// under the attempt id of the current one, which no entry host can detect.
TEST(ProofP3, DetectsWrongBodies)
{
  Deployment deployment;
  ASSERT_TRUE(deployment.Start());
  for (uint32_t worker = 0; worker < Deployment::kWorkers; ++worker) {
    ASSERT_TRUE(deployment.SetWorkerFault(worker, "wrong-body"));
  }
  BackgroundLoad load(deployment.Load(2s, kSeed));
  load.Wait();
  const ProofResult result = CheckProof(load.History(), deployment.ControlAddress());
  EXPECT_GT(result.Count(ViolationKind::WrongAnswer), 0U) << result.Summary();
}

/// P4 and P5: a request reported as not run must not have run, and a non-idempotent request must
/// not run twice, while entry hosts are killed and paused and workers close connections after
/// acting.
TEST(ProofP4P5, KilledAndPausedEntryHosts)
{
  Deployment deployment;
  ASSERT_TRUE(deployment.Start());
  BackgroundLoad load(deployment.Load(12s, kSeed));
  FaultWindows windows;
  const uint32_t closing = WorkerIn(deployment, "ledger");
  EXPECT_TRUE(WaitForRuns(deployment, closing, 20));
  windows.Open();
  ASSERT_TRUE(deployment.SetWorkerFault(closing, "close-after-acting"));
  EXPECT_TRUE(WaitForRuns(deployment, closing, 1));
  deployment.Entry(1).Signal(SIGSTOP);
  deployment.Entry(2).Signal(SIGKILL);
  deployment.Entry(2).Wait(5s);
  // Both leases must expire first, so that the others have continued without the paused entry host
  // when it resumes.
  EXPECT_TRUE(WaitUntil(8s, [&] {
    const auto status = deployment.Admin(0, "GET", "/v1/status", "", 500ms);
    return status.status_ == 200 && status.body_.at("entry_hosts").size() == 4;
  }));
  deployment.Entry(1).Signal(SIGCONT);
  ASSERT_TRUE(deployment.SetWorkerFault(closing, "none"));
  deployment.StartEntry(2);
  EXPECT_TRUE(WaitUntil(20s, [&] { return deployment.AllEntriesServe(); }));
  windows.Close();
  // Load outside the fault window, for the share of unknown outcomes.
  BackgroundLoad after(deployment.Load(3s, kSeed + 1));
  load.Wait();
  after.Wait();
  auto history = load.History();
  const auto more = after.History();
  history.insert(history.end(), more.begin(), more.end());
  const ProofResult result = CheckProof(history, deployment.ControlAddress(), windows);
  PrintFigures("P4P5", result.Summary());
  ExpectNoViolation(result);
  EXPECT_GT(result.outsideFaults_, 500U) << result.Summary();
  EXPECT_LT(result.unknownOutsideFaults_ * 100, result.outsideFaults_) << result.Summary();
}

/// Mutants of P4 and P5: the check must fail for a proxy in front of a worker that repeats a
/// request, and for an entry host that reports unknown outcomes as "not run".
TEST(ProofP4P5, DetectsRepeatedAndDeniedRuns)
{
  Deployment deployment;
  ASSERT_TRUE(deployment.Start());
  for (uint32_t worker = 0; worker < Deployment::kWorkers; worker += 2) {
    ASSERT_TRUE(deployment.SetWorkerFault(worker, "close-after-acting"));
  }
  BackgroundLoad load(deployment.Load(2s, kSeed));
  load.Wait();
  auto history = load.History();
  for (HistoryLine& line : history) {
    line.type_ = line.type_ == HistoryType::Unknown ? HistoryType::NotRun : line.type_;
  }
  const auto denied = CheckProof(history, deployment.ControlAddress());
  EXPECT_GT(denied.Count(ViolationKind::NotRunButRan), 0U) << denied.Summary();
  EXPECT_EQ(denied.Count(ViolationKind::RanTwice), 0U) << denied.Summary();

  const auto once = std::find_if(history.begin(), history.end(), [](const HistoryLine& aLine) {
    return aLine.type_ == HistoryType::Ok && !aLine.idempotent_;
  });
  ASSERT_NE(once, history.end());
  CurlBackendLink proxy({});
  BackendRequest repeated;
  repeated.address_ = deployment.WorkerAddress(1);
  repeated.method_ = "POST";
  repeated.path_ = "/work?nonce=" + once->nonce_;
  repeated.timeout_ = 2s;
  EXPECT_TRUE(leaf::try_handle_all(
    [&]() -> leaf::result<bool> {
      BOOST_LEAF_CHECK(proxy.Send(repeated));
      return true;
    },
    [] { return false; }));
  const auto doubled = CheckProof(load.History(), deployment.ControlAddress());
  EXPECT_EQ(doubled.Count(ViolationKind::RanTwice), 1U) << doubled.Summary();
}

}
}
