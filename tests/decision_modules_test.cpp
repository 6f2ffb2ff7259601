#include "sardinespoke/admission_queue.h"
#include "sardinespoke/circuit_breaker.h"
#include "sardinespoke/cost_model.h"
#include "sardinespoke/fault_attribution.h"
#include "sardinespoke/placement.h"

#include <gtest/gtest.h>

namespace sardinespoke {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart{ std::chrono::hours(24) };

// Guards against unbounded cost estimates: a run time of 0 or of hours must not make a team's
// requests free or block them.
TEST(CostModel, IsBoundedAndFollowsTheRunTime)
{
  CostModel costs;
  EXPECT_EQ(costs.Mean("new"), CostModel::kInitialCost);
  costs.RecordRunTime("zero", seconds(0));
  EXPECT_EQ(costs.Mean("zero"), CostModel::kMinCost);
  costs.RecordRunTime("endless", std::chrono::hours(5));
  EXPECT_EQ(costs.Mean("endless"), CostModel::kMaxCost);
  for (int i = 0; i < 100; ++i) {
    costs.RecordRunTime("mixed", milliseconds(i % 2 == 0 ? 100 : 300));
  }
  EXPECT_NEAR(static_cast<double>(costs.Mean("mixed").count()), 2e8, 2e7);
  EXPECT_GT(costs.P95("mixed"), milliseconds(300));
}

// Guards against memory that grows with the number of caller-supplied paths.
TEST(CostModel, NumberOfKindsIsBounded)
{
  CostModel costs;
  for (size_t i = 0; i < CostModel::kMaxKinds; ++i) {
    costs.RecordRunTime("kind-" + std::to_string(i), milliseconds(10));
  }
  costs.RecordRunTime("one-more", milliseconds(20));
  EXPECT_EQ(costs.Mean("one-more"), costs.Mean("yet-another"));
}

class AdmissionQueueTest : public testing::Test
{
protected:
  std::optional<AdmissionError::Code> Add(const std::string& aProfile,
                                          uint64_t aTicket,
                                          milliseconds aDeadline,
                                          milliseconds aCost,
                                          bool aRetry = false)
  {
    QueuedItem item;
    item.ticket_ = aTicket;
    item.deadline_ = kStart + aDeadline;
    item.cost_ = aCost;
    item.item_.retry_ = aRetry;
    item.item_.cancelled_ = cancelled_;
    return queue_.Add(aProfile, item, { 10, 2 }, kStart);
  }

  std::shared_ptr<std::atomic<bool>> cancelled_ = std::make_shared<std::atomic<bool>>(false);
  AdmissionQueue queue_;
};

// Guards against queueing requests whose estimated wait exceeds their deadline.
TEST_F(AdmissionQueueTest, RefusesUnreachableDeadlines)
{
  for (uint64_t ticket = 1; ticket <= 4; ++ticket) {
    ASSERT_EQ(Add("births", ticket, seconds(5), milliseconds(1000)), std::nullopt);
  }
  EXPECT_EQ(Add("births", 5, milliseconds(1900), milliseconds(1000)),
            AdmissionError::Code::DeadlineUnreachable);
  EXPECT_EQ(Add("births", 6, milliseconds(2100), milliseconds(1000)), std::nullopt);
  EXPECT_EQ(Add("sales", 7, milliseconds(1), milliseconds(1000)), std::nullopt);
}

// Guards against an unbounded queue, and against a queue entry that remains after a cancellation.
TEST_F(AdmissionQueueTest, LengthIsBoundedAndCancellationFreesAPlace)
{
  for (uint64_t ticket = 1; ticket <= 10; ++ticket) {
    ASSERT_EQ(Add("births", ticket, seconds(5), milliseconds(1)), std::nullopt);
  }
  EXPECT_EQ(Add("births", 11, seconds(5), milliseconds(1)), AdmissionError::Code::QueueFull);
  EXPECT_TRUE(queue_.Cancel(3));
  EXPECT_FALSE(queue_.Cancel(3));
  EXPECT_EQ(Add("births", 12, seconds(5), milliseconds(1)), std::nullopt);
  EXPECT_EQ(queue_.EstimateWait("births", 1), milliseconds(10));
  cancelled_->store(true);
  EXPECT_EQ(queue_.TakeCancelled().size(), 10U);
  EXPECT_EQ(queue_.Size(), 0U);
  EXPECT_EQ(queue_.EstimateWait("births", 1), milliseconds(0));
}

// Guards against expired requests that stay queued, if deadlines aren't in queue order.
TEST_F(AdmissionQueueTest, ExpiresByDeadline)
{
  Add("births", 1, milliseconds(300), milliseconds(1));
  Add("births", 2, milliseconds(100), milliseconds(1));
  Add("sales", 3, milliseconds(200), milliseconds(1));
  const auto expired = queue_.Expire(kStart + milliseconds(200));
  ASSERT_EQ(expired.size(), 2U);
  EXPECT_EQ(expired[0].ticket_, 2U);
  EXPECT_EQ(expired[1].ticket_, 3U);
  EXPECT_EQ(queue_.Front("births")->ticket_, 1U);
}

// Guards against a retry that is queued behind all other requests a second time.
TEST_F(AdmissionQueueTest, RetriesAreQueuedFirst)
{
  Add("births", 1, seconds(1), milliseconds(1));
  Add("births", 2, seconds(1), milliseconds(1), true);
  EXPECT_EQ(queue_.Pop("births").ticket_, 2U);
}

// Guards against a team with expensive requests that gets more run time than its weight.
TEST_F(AdmissionQueueTest, RoundRobinSharesRunTimeByWeight)
{
  std::map<std::string, milliseconds> served;
  const std::vector<std::pair<std::string, uint32_t>> teams = { { "cheap", 2 }, { "dear", 1 } };
  uint64_t ticket = 0;
  for (int i = 0; i < 1200; ++i) {
    for (const auto& [team, weight] : teams) {
      while (queue_.Length(team) < 3) {
        Add(team, ++ticket, seconds(100), milliseconds(team == "cheap" ? 10 : 100));
      }
    }
    const std::string& team = teams[queue_.ChooseNext(teams)].first;
    served[team] += std::chrono::duration_cast<milliseconds>(queue_.Pop(team).cost_);
  }
  const double ratio =
    static_cast<double>(served["cheap"].count()) / static_cast<double>(served["dear"].count());
  EXPECT_NEAR(ratio, 2.0, 0.1);
}

// Guards against requests to a server with an open breaker, concurrent probes, and a breaker that
// never closes again.
TEST(CircuitBreaker, OpensProbesOnceAndCloses)
{
  CircuitBreaker breaker;
  for (uint64_t grant = 1; grant <= CircuitBreaker::kFailuresToOpen; ++grant) {
    EXPECT_TRUE(breaker.AllowsRequest(kStart));
    breaker.OnStart(grant, kStart);
    breaker.OnFailure(grant, kStart);
  }
  EXPECT_FALSE(breaker.AllowsRequest(kStart));
  breaker.OnSuccess(1); // A request sent before the breaker opened.
  EXPECT_FALSE(breaker.AllowsRequest(kStart));

  const TimePoint later = kStart + CircuitBreaker::kInitialOpenTime;
  EXPECT_TRUE(breaker.AllowsRequest(later));
  breaker.OnStart(10, later);
  EXPECT_FALSE(breaker.AllowsRequest(later));
  breaker.OnInconclusive(10);
  EXPECT_TRUE(breaker.AllowsRequest(later));
  breaker.OnStart(11, later);
  breaker.OnFailure(11, later);
  EXPECT_FALSE(breaker.AllowsRequest(later + CircuitBreaker::kInitialOpenTime));

  const TimePoint last = later + 2 * CircuitBreaker::kInitialOpenTime;
  breaker.OnStart(12, last);
  breaker.OnSuccess(12);
  EXPECT_EQ(breaker.StateAt(last), CircuitBreaker::State::Closed);
}

// Guards against a failing worker that stays in use because of its earlier successes.
TEST(FaultAttribution, EjectsAWorkerThatFailsAllKinds)
{
  FaultAttribution faults;
  for (int i = 0; i < 200; ++i) {
    for (const char* worker : { "w1", "w2", "w3" }) {
      faults.Record(worker, "kind-" + std::to_string(i % 4), true, kStart);
    }
  }
  for (int i = 0; i < 4; ++i) {
    EXPECT_TRUE(faults.FailingWorkers().empty());
    faults.Record("w2", "kind-" + std::to_string(i), false, kStart);
  }
  EXPECT_EQ(faults.FailingWorkers(), std::vector<std::string>{ "w2" });
  faults.RemoveWorker("w2");
  EXPECT_TRUE(faults.FailingWorkers().empty());
}

// Guards against ejecting workers for a kind of work that fails on all workers, either from its
// first request on or after earlier successes.
TEST(FaultAttribution, DoesNotEjectWorkersForAFailingKind)
{
  FaultAttribution faults;
  for (int i = 0; i < 3000; ++i) {
    const std::string worker = "w" + std::to_string(i % 10);
    faults.Record(worker, "good", true, kStart);
    faults.Record(worker, "impossible", false, kStart);
    faults.Record(worker, "turns-bad", i < 1000, kStart);
    ASSERT_TRUE(faults.FailingWorkers().empty()) << "after " << i;
  }
  EXPECT_TRUE(faults.FailsOnOtherWorkers("w1", "impossible"));
  EXPECT_FALSE(faults.FailsOnOtherWorkers("w1", "good"));
}

// Guards against ejecting most of a pool.
TEST(FaultAttribution, EjectionIsCapped)
{
  EXPECT_EQ(FaultAttribution::MaxEjectedWorkers(3), 1U);
  EXPECT_EQ(FaultAttribution::MaxEjectedWorkers(19), 1U);
  EXPECT_EQ(FaultAttribution::MaxEjectedWorkers(50), 5U);
}

// Guards against unnecessary traffic between zones, a retry on the server that just failed, and a
// queue that stalls if only that server has free slots.
TEST(Placement, PrefersZoneAndAvoidsTheFailedHost)
{
  Placement placement("zone-0", 1);
  const std::vector<PlacementCandidate> all = { { 0, "w0", "zone-0", 1, 0 },
                                                { 1, "w1", "zone-1", 8, 0 },
                                                { 2, "w2", "zone-0", 1, 0 } };
  for (int i = 0; i < 50; ++i) {
    EXPECT_NE(placement.Choose(all, ""), 1U);
    EXPECT_EQ(placement.Choose(all, "w0"), 2U);
  }
  EXPECT_EQ(placement.Choose({ all[0] }, "w0"), 0U);
  EXPECT_EQ(placement.Choose({}, ""), std::nullopt);
}

}
}
