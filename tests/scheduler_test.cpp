#include "sardinespoke/scheduler.h"

#include "sardinespoke/steady_clock.h"
#include "scheduling_fixture.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <thread>

namespace sardinespoke {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

class SchedulerTest : public testing::Test
{
protected:
  SchedulerTest()
    : scheduler_({ "e1", "zone-0", 1 }, config_, exchange_, clock_)
  {
    builder_.Pool("barn", 2).Team("births", "barn", 8, 16, Urgency::Urgent).Member("e1");
    config_.Set(builder_.Build());
    scheduler_.Init();
  }

  /// @returns The code of the refusal, or Count if a slot was granted.
  AdmissionError::Code Try(WorkItem aItem, std::vector<Grant>& aGrants)
  {
    return leaf::try_handle_all(
      [&]() -> leaf::result<AdmissionError::Code> {
        BOOST_LEAF_AUTO(grant, scheduler_.Acquire(aItem));
        aGrants.push_back(grant);
        return AdmissionError::Code::Count;
      },
      [](const AdmissionError& aError) { return aError.code_; },
      [] { return AdmissionError::Code::NoBackend; });
  }

  WorkItem Item() const
  {
    WorkItem item;
    item.service_ = "births";
    item.kind_ = "births/report";
    return item;
  }

  ViewBuilder builder_;
  FakeConfig config_;
  FakeExchange exchange_;
  SteadyClock clock_;
  Scheduler scheduler_;
};

// Guards against a slow hand-over between threads; 0.3 ms are allowed per request. The limit in the
// test is higher for a loaded machine, so the measured percentiles are printed too.
TEST_F(SchedulerTest, HandOverIsFast)
{
  std::vector<milliseconds::rep> times;
  for (int i = 0; i < 2000; ++i) {
    std::vector<Grant> grants;
    const auto start = std::chrono::steady_clock::now();
    ASSERT_EQ(Try(Item(), grants), AdmissionError::Code::Count);
    const auto took = std::chrono::steady_clock::now() - start;
    times.push_back(std::chrono::duration_cast<microseconds>(took).count());
    scheduler_.Release(grants[0], AttemptResult::Ok, milliseconds(1));
  }
  std::sort(times.begin(), times.end());
  std::cout << "hand-over p50 " << times[1000] << " us, p99 " << times[1980] << " us\n";
  EXPECT_LT(times[1000], 500);
}

// Guards against a caller that waits indefinitely if the daemon stops.
TEST_F(SchedulerTest, ShutdownRefusesWaitingCallers)
{
  std::vector<Grant> grants;
  for (int i = 0; i < 16; ++i) {
    ASSERT_EQ(Try(Item(), grants), AdmissionError::Code::Count);
  }
  std::vector<Grant> none;
  auto code = AdmissionError::Code::Count;
  std::thread caller([&] { code = Try(Item(), none); });
  while (scheduler_.Counters().queued_ == 0) {
    std::this_thread::yield();
  }
  scheduler_.Shutdown();
  caller.join();
  EXPECT_EQ(code, AdmissionError::Code::Stopping);
  EXPECT_EQ(Try(Item(), none), AdmissionError::Code::Stopping);
  scheduler_.Release(grants[0], AttemptResult::Ok, milliseconds(1));
}

// Guards against starting a request under an expired view or on a host that is draining.
TEST_F(SchedulerTest, MayStartFollowsTheViewInForce)
{
  std::vector<Grant> grants;
  ASSERT_EQ(Try(Item(), grants), AdmissionError::Code::Count);
  EXPECT_TRUE(scheduler_.MayStart(grants[0]));
  config_.mayDispatch_ = false;
  EXPECT_FALSE(scheduler_.MayStart(grants[0]));
  config_.mayDispatch_ = true;
  EXPECT_TRUE(scheduler_.BusyDrainingHosts().empty());

  builder_.Host(grants[0].host_).state_ = HostState::Draining;
  config_.Set(builder_.Build());
  EXPECT_FALSE(scheduler_.MayStart(grants[0]));
  EXPECT_EQ(scheduler_.BusyDrainingHosts(), std::vector<std::string>{ grants[0].host_ });
  scheduler_.Release(grants[0], AttemptResult::Stale, milliseconds(0));
  EXPECT_TRUE(scheduler_.BusyDrainingHosts().empty());
}

// Guards against a queue entry that remains after the caller has disconnected.
TEST_F(SchedulerTest, CancelledCallerLeavesTheQueue)
{
  std::vector<Grant> grants;
  for (int i = 0; i < 16; ++i) {
    ASSERT_EQ(Try(Item(), grants), AdmissionError::Code::Count);
  }
  WorkItem item = Item();
  item.cancelled_ = std::make_shared<std::atomic<bool>>(false);
  std::vector<Grant> none;
  auto code = AdmissionError::Code::Count;
  std::thread caller([&] { code = Try(item, none); });
  while (scheduler_.Counters().queued_ == 0) {
    std::this_thread::yield();
  }
  item.cancelled_->store(true);
  caller.join();
  EXPECT_EQ(code, AdmissionError::Code::Cancelled);
  while (scheduler_.Counters().queued_ != 0) {
    std::this_thread::yield();
  }
}

// Guards against lost or duplicate decisions if many callers race with each other and with the
// shutdown.
TEST_F(SchedulerTest, ConcurrentCallersAllGetAnAnswer)
{
  constexpr int kThreads = 16;
  std::atomic<int> answers{ 0 };
  std::atomic<int> running{ 0 };
  std::atomic<int> most{ 0 };
  std::vector<std::thread> callers;
  callers.reserve(kThreads);
  for (int i = 0; i < kThreads; ++i) {
    callers.emplace_back([&] {
      for (int call = 0; call < 300; ++call) {
        std::vector<Grant> grants;
        if (Try(Item(), grants) == AdmissionError::Code::Count) {
          const int now = ++running;
          int seen = most.load();
          while (now > seen && !most.compare_exchange_weak(seen, now)) {
          }
          --running;
          scheduler_.Release(grants[0], AttemptResult::Ok, microseconds(10));
        }
        ++answers;
      }
    });
  }
  while (answers < kThreads * 100) {
    std::this_thread::yield();
  }
  scheduler_.Shutdown();
  for (std::thread& caller : callers) {
    caller.join();
  }
  EXPECT_EQ(answers, kThreads * 300);
  EXPECT_LE(most, 16);
}

}
}
