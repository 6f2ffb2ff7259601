#include "sardinespoke/scheduler_core.h"

#include "scheduling_fixture.h"

#include <gtest/gtest.h>

#include <deque>

namespace sardinespoke {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// One entry host with a pool of 4 workers (32 slots) and three teams, on a simulated clock.
class SchedulerCoreTest : public testing::Test
{
protected:
  SchedulerCoreTest()
    : core_({ "e1", "zone-0", 1 })
  {
    builder_.Pool("barn", 4).Member("e1");
    builder_.Team("births", "barn", 16, 32, Urgency::Standard);
    builder_.Team("sales", "barn", 8, 32, Urgency::Urgent);
    builder_.Team("reports", "barn", 8, 32, Urgency::Batch);
    Step(ViewEvent{ builder_.Build() });
    Step(ConfirmationEvent{ true });
  }

  void Step(const SchedulerEvent& aEvent)
  {
    std::vector<Decision> decisions;
    core_.Step(aEvent, now_, decisions);
    for (Decision& decision : decisions) {
      EXPECT_TRUE(open_.erase(decision.ticket_) == 1) << "ticket decided twice";
      if (const auto* grant = std::get_if<Grant>(&decision.outcome_)) {
        grants_[services_[decision.ticket_]].push_back(*grant);
      } else {
        refusals_.push_back(std::get<AdmissionError>(decision.outcome_).code_);
      }
    }
  }

  uint64_t Submit(const std::string& aService, milliseconds aDeadline = milliseconds(0))
  {
    SubmitEvent event;
    event.ticket_ = ++lastTicket_;
    event.item_.service_ = aService;
    event.item_.kind_ = aService;
    event.item_.deadline_ = aDeadline;
    open_.insert(event.ticket_);
    services_[event.ticket_] = aService;
    Step(event);
    return event.ticket_;
  }

  void SubmitMany(const std::string& aService, int aCount)
  {
    for (int i = 0; i < aCount; ++i) {
      Submit(aService);
    }
  }

  /// Ends the oldest running request of a service.
  void Finish(const std::string& aService,
              std::chrono::nanoseconds aRunTime = milliseconds(10),
              AttemptResult aResult = AttemptResult::Ok)
  {
    const Grant grant = grants_[aService].front();
    grants_[aService].pop_front();
    Step(ReleaseEvent{ grant.id_, aResult, aRunTime });
  }

  /// Trains the cost model with a run time for the kind of a service.
  void LearnRunTime(const std::string& aService, std::chrono::nanoseconds aRunTime)
  {
    for (int i = 0; i < 3; ++i) {
      Submit(aService);
      now_ += aRunTime;
      Finish(aService, aRunTime);
    }
  }

  size_t Running(const std::string& aService) { return grants_[aService].size(); }

  ViewBuilder builder_;
  SchedulerCore core_;
  TimePoint now_{ std::chrono::hours(24) };
  std::map<std::string, std::deque<Grant>> grants_;
  std::vector<AdmissionError::Code> refusals_;
  std::set<uint64_t> open_; ///< Tickets without a decision.
  std::map<uint64_t, std::string> services_;
  uint64_t lastTicket_ = 0;
};

// Guards against a flood of one team that keeps another team below its entitlement.
TEST_F(SchedulerCoreTest, FloodGivesBackEntitledSlots)
{
  LearnRunTime("sales", milliseconds(100));
  SubmitMany("sales", 200);
  EXPECT_EQ(Running("sales"), 32U);
  SubmitMany("births", 50);
  EXPECT_EQ(Running("births"), 0U);
  for (int i = 0; i < 16; ++i) {
    Finish("sales");
  }
  EXPECT_EQ(Running("births"), 16U);
  EXPECT_EQ(Running("sales"), 16U);
}

// Guards against idle slots while the only team with demand is above its entitlement.
TEST_F(SchedulerCoreTest, IdleSlotsAreLent)
{
  LearnRunTime("reports", milliseconds(100));
  SubmitMany("reports", 40);
  EXPECT_EQ(Running("reports"), 32U);
}

// Guards against work of unknown cost that takes all idle slots before its first completion, and
// against underestimating its run time from the shortest requests, which end first.
TEST_F(SchedulerCoreTest, UnknownWorkIsTreatedAsLong)
{
  SubmitMany("reports", 40);
  EXPECT_EQ(Running("reports"), 8U + 32U / 8U);
  now_ += milliseconds(500);
  Finish("reports", milliseconds(500));
  EXPECT_LE(Running("reports"), 8U + 32U / 8U);
  now_ += milliseconds(1);
  for (int i = 0; i < 200 && Running("reports") > 0; ++i) {
    Finish("reports", milliseconds(1));
    now_ += milliseconds(1);
    Submit("reports");
  }
  EXPECT_EQ(Running("reports"), 32U);
}

// Guards against lending so many slots to long work that an entitled team can't get its slots in
// time.
TEST_F(SchedulerCoreTest, LongWorkBorrowsOnlyUpToTheReserve)
{
  LearnRunTime("reports", seconds(20));
  SubmitMany("reports", 40);
  EXPECT_EQ(Running("reports"), 8U + 32U / 8U);
  SubmitMany("births", 16);
  EXPECT_EQ(Running("births"), 16U);
}

// Guards against long work that waits although no team is entitled to the idle slots.
TEST_F(SchedulerCoreTest, LongWorkUsesSlotsThatNobodyIsEntitledTo)
{
  builder_.Profile("births").entitledSlots_ = 0;
  Step(ViewEvent{ builder_.Build() });
  LearnRunTime("reports", seconds(20));
  SubmitMany("reports", 40);
  EXPECT_EQ(Running("reports"), 8U + 16U);
}

// Guards against new work for a host that is draining or belongs to another pool.
TEST_F(SchedulerCoreTest, OnlyServingHostsOfThePoolGetWork)
{
  builder_.Host("barn-100").state_ = HostState::Draining;
  builder_.Host("barn-101").pool_ = "elsewhere";
  Step(ViewEvent{ builder_.Build() });
  SubmitMany("births", 40);
  EXPECT_EQ(Running("births"), 16U);
  for (const Grant& grant : grants_["births"]) {
    EXPECT_TRUE(grant.host_ == "barn-102" || grant.host_ == "barn-103") << grant.host_;
  }
}

// Guards against dispatching under an unconfirmed view, and against a wrong refusal code.
TEST_F(SchedulerCoreTest, UnconfirmedViewDelaysDispatch)
{
  Step(ConfirmationEvent{ false });
  Submit("births");
  Submit("births", milliseconds(100));
  EXPECT_EQ(Running("births"), 0U);
  now_ += milliseconds(100);
  Step(TickEvent{});
  EXPECT_EQ(refusals_, std::vector<AdmissionError::Code>{ AdmissionError::Code::NoView });
  Step(ConfirmationEvent{ true });
  EXPECT_EQ(Running("births"), 1U);
}

// Guards against losing queued or running work, or counting it twice, if the view changes.
TEST_F(SchedulerCoreTest, ViewChangeKeepsQueuedAndRunningWork)
{
  LearnRunTime("births", milliseconds(100));
  SubmitMany("births", 40);
  builder_.Pool("mill", 1);
  Step(ViewEvent{ builder_.Build() });
  EXPECT_EQ(core_.Counters().queued_, 8U);
  EXPECT_EQ(core_.Counters().running_, 32U);
  for (int i = 0; i < 8; ++i) {
    Finish("births");
  }
  EXPECT_EQ(core_.Counters().queued_, 0U);
  EXPECT_EQ(Running("births"), 32U);

  Submit("births");
  builder_.Team("births", "mill", 4, 8, Urgency::Standard);
  Step(ViewEvent{ builder_.Build() });
  EXPECT_EQ(grants_["births"].back().pool_, "mill");
  EXPECT_TRUE(open_.empty());
}

// Guards against refusals with a wrong code.
TEST_F(SchedulerCoreTest, RefusalsHaveTheRightCode)
{
  Submit("unknown");
  LearnRunTime("reports", seconds(2));
  SubmitMany("reports", 60);
  Submit("reports", milliseconds(500));
  EXPECT_EQ(refusals_.front(), AdmissionError::Code::UnknownService);
  EXPECT_EQ(refusals_.back(), AdmissionError::Code::DeadlineUnreachable);
  SchedulerCore empty({ "e2", "zone-0", 1 });
  std::vector<Decision> decisions;
  empty.Step(SubmitEvent{ 1, {} }, now_, decisions);
  ASSERT_EQ(decisions.size(), 1U);
  EXPECT_EQ(std::get<AdmissionError>(decisions[0].outcome_).code_, AdmissionError::Code::NoView);
}

// Guards against repeated requests to a worker without a free slot.
TEST_F(SchedulerCoreTest, FullWorkerGetsABackoff)
{
  LearnRunTime("births", milliseconds(100));
  Submit("births");
  const std::string full = grants_["births"].front().host_;
  Finish("births", milliseconds(0), AttemptResult::SlotsRefused);
  SubmitMany("births", 24);
  for (const Grant& grant : grants_["births"]) {
    EXPECT_NE(grant.host_, full);
  }
  SubmitMany("births", 1);
  EXPECT_EQ(Running("births"), 24U);
  now_ += milliseconds(300);
  Step(TickEvent{});
  EXPECT_EQ(Running("births"), 25U);
}

// Guards against a worker that stays in use although it fails all requests, and against ejections
// above the cap if several workers fail.
TEST_F(SchedulerCoreTest, FailingWorkersAreEjectedUpToTheCap)
{
  for (int round = 0; round < 400; ++round) {
    SubmitMany("births", 8);
    while (Running("births") > 0) {
      const std::string& host = grants_["births"].front().host_;
      const bool fails = round > 50 && (host == "barn-100" || host == "barn-101");
      Finish("births", milliseconds(1), fails ? AttemptResult::ServerError : AttemptResult::Ok);
    }
    now_ += milliseconds(20);
    Step(TickEvent{});
    EXPECT_LE(core_.Suspects(now_).size(), 1U);
  }
  EXPECT_EQ(core_.Suspects(now_).size(), 1U);
  EXPECT_EQ(refusals_.size(), 0U);
}

// Guards against lost requests: in any sequence of events, each ticket is decided exactly once.
TEST_F(SchedulerCoreTest, EveryTicketIsDecidedOnce)
{
  std::minstd_rand random(7);
  const std::vector<std::string> services = { "births", "sales", "reports", "unknown" };
  for (int i = 0; i < 20000; ++i) {
    const std::string& service = services[random() % services.size()];
    switch (random() % 8) {
      case 0:
        now_ += milliseconds(random() % 50);
        Step(TickEvent{});
        break;
      case 1:
        Step(CancelEvent{ 1 + random() % (lastTicket_ + 1) });
        break;
      case 2:
        builder_.Host("barn-100").state_ =
          random() % 2 == 0 ? HostState::Serving : HostState::Draining;
        Step(ViewEvent{ builder_.Build() });
        break;
      case 3:
        Step(ConfirmationEvent{ random() % 4 != 0 });
        break;
      case 4:
      case 5:
        if (Running(service) > 0) {
          const auto result = static_cast<AttemptResult>(random() % 8);
          Finish(service, milliseconds(random() % 200), result);
        }
        break;
      default:
        Submit(service, milliseconds(random() % 400));
    }
  }
  now_ += seconds(10);
  Step(TickEvent{});
  EXPECT_TRUE(open_.empty());
  EXPECT_EQ(core_.Counters().queued_, 0U);
}

// Guards against granting a slot that is released between two ticks to a request past its deadline.
TEST_F(SchedulerCoreTest, ReleasedSlotsDoNotGoToExpiredRequests)
{
  LearnRunTime("births", milliseconds(100)); // Work of unknown cost may not borrow every slot.
  SubmitMany("births", 32);
  Submit("sales", milliseconds(100));
  ASSERT_TRUE(grants_["sales"].empty());
  now_ += milliseconds(101);
  Finish("births");
  EXPECT_TRUE(grants_["sales"].empty());
  EXPECT_EQ(refusals_, std::vector{ AdmissionError::Code::DeadlineUnreachable });
}

}
}
