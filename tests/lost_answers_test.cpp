#include "event_queue.h"
#include "no_commands.h"
#include "sardinespoke/manual_clock.h"
#include "sardinespoke/run_tracker.h"

#include <gtest/gtest.h>

#include <random>

namespace sardinespoke {
namespace {

using std::chrono::milliseconds;

constexpr char kBackend[] = "backend-0";
constexpr char kJob[] = "00000000000000b1";
constexpr milliseconds kCallTimeout{ 400 };
constexpr milliseconds kLatency{ 2 };
constexpr milliseconds kStep{ 10 };

/// A backend server that carries out a part of the polls never and answers the others in time.
class LossyBackend final : public BackendCommandsI
{
public:
  LossyBackend(ManualClock& aClock, double aLoss, unsigned int aSeed)
    : clock_(aClock)
    , events_(aClock)
    , loss_(aLoss)
    , random_(aSeed)
  {
  }

  void Start(const StartCommand& aCommand, OnResult aDone) override
  {
    if (lostStarts_ > 0) {
      --lostStarts_;
      events_.ScheduleAfter(kCallTimeout, [aDone] { aDone(CommandResult()); });
      return;
    }
    Grant(aCommand.deadline_);
    running_ = aCommand.run_;
    CommandResult result;
    result.outcome_ = CommandOutcome::Done;
    result.clock_ = Clock();
    events_.ScheduleAfter(kLatency, [aDone, result] { aDone(result); });
  }
  void Stop(const StopCommand&, OnResult) override {}
  void Throttle(const ThrottleCommand&, OnResult) override {}
  void Poll(const PollCommand& aCommand, OnPollResult aDone) override
  {
    ++polls_;
    const bool isLost = lostPolls_ > 0 || std::bernoulli_distribution(loss_)(random_);
    lostPolls_ -= lostPolls_ > 0 ? 1 : 0;
    if (isDead_ || isLost) {
      events_.ScheduleAfter(aCommand.wait_ + kCallTimeout, [aDone] { aDone(PollResult()); });
      return;
    }
    Grant(aCommand.deadline_);
    events_.ScheduleAfter(aCommand.wait_ + kLatency, [this, aDone] {
      PollResult list;
      list.outcome_ = CommandOutcome::Done;
      list.clock_ = Clock();
      if (running_) {
        RunningTask task;
        task.run_ = *running_;
        list.running_.push_back(task);
      }
      aDone(list);
    });
  }
  void ChangeHost(const HostCommand&, OnResult) override {}
  void ListHosts(OnHosts) override {}
  void Advise(const AdviceQuery&, OnAdvice) override {}

  void Step()
  {
    clock_.Advance(kStep);
    events_.Run();
    if (running_ && Clock() > deadline_) {
      running_.reset();
      ++lapses_;
    }
  }

  int64_t Clock() const
  {
    return std::chrono::duration_cast<milliseconds>(clock_.Now().time_since_epoch()).count() +
           1000000;
  }

  bool IsRunning() const { return running_.has_value(); }

  bool isDead_ = false;
  int lostStarts_ = 0; ///< The next starts that get lost.
  int lostPolls_ = 0;  ///< The next polls that get lost.
  int lapses_ = 0;
  int polls_ = 0;

private:
  void Grant(int64_t aDeadline) { deadline_ = std::max(deadline_, aDeadline); }

  ManualClock& clock_;
  EventQueue events_;
  const double loss_;
  std::mt19937 random_;
  std::optional<RunId> running_;
  int64_t deadline_ = 0;
};

/// One task that lasts, on one backend server.
class LostAnswersTest : public testing::Test
{
protected:
  void Lead(double aLoss)
  {
    constexpr unsigned int kSeed = 16;
    backendServer_ = std::make_unique<LossyBackend>(clock_, aLoss, kSeed);
    runs_ = std::make_unique<RunTracker>(jobs_, backends_, *backendServer_, clock_, RunLimits(), 1);
  }

  static BackendEntry Entry()
  {
    BackendEntry entry;
    entry.id_ = kBackend;
    entry.address_ = "10.0.0.1:1";
    return entry;
  }

  void StartTask(double aLoss, int aLostStarts = 0)
  {
    Lead(aLoss);
    JobSpec spec;
    spec.id_ = kJob;
    StepSpec& step = spec.steps_.emplace_back();
    step.taskCount_ = 1;
    step.continuous_ = true;
    const uint32_t job = jobs_.Add(spec, QueuePolicy(), clock_.Now(), milliseconds(0));
    jobs_.OpenDueOccurrences(jobs_.At(job), milliseconds(0));
    ASSERT_TRUE(jobs_.Locate(TaskId{ kJob, 0, 0, 0 }, task_));
    runs_->ApplyRegistry({ Entry() });
    backend_ = backends_.Find(kBackend);
    backends_.At(backend_).recorded_ = true;
    RunUntil([this] { return runs_->IsUsable(backends_.At(backend_)); }, milliseconds(20000));
    ASSERT_TRUE(runs_->IsUsable(backends_.At(backend_)));
    backendServer_->lostStarts_ = aLostStarts;
    runs_->Start(task_, backend_, runs_->NextRun());
  }

  template<typename Condition>
  void RunUntil(const Condition& aIsOver, milliseconds aLimit)
  {
    for (const TimePoint end = clock_.Now() + aLimit; clock_.Now() < end && !aIsOver();) {
      runs_->Tick();
      backendServer_->Step();
    }
  }

  ManualClock clock_;
  JobTable jobs_;
  BackendTable backends_;
  std::unique_ptr<LossyBackend> backendServer_;
  std::unique_ptr<RunTracker> runs_;
  BackendHandle backend_;
  TaskRef task_;
};

// LOST: the short lease of a start was renewed by one poll only, which was counted as answered.
TEST_F(LostAnswersTest, ARunOutlivesTheLossOfThePollAfterItsStart)
{
  StartTask(0.0);
  backendServer_->lostPolls_ = 2;
  RunUntil([] { return false; }, milliseconds(5000));
  EXPECT_EQ(backendServer_->lapses_, 0);
}

// The same later, when the lease is longer.
TEST_F(LostAnswersTest, ARunOutlivesTheLossOfSeveralPolls)
{
  StartTask(0.0);
  RunUntil([] { return false; }, milliseconds(20000));
  backendServer_->lostPolls_ = 4;
  RunUntil([] { return false; }, milliseconds(5000));
  EXPECT_EQ(backendServer_->lapses_, 0);
}

// LOST: with half of the commands unanswered, tasks that last lapsed time and again on backend
// servers that could be reached.
TEST_F(LostAnswersTest, NoRunLapsesWhileHalfOfThePollsAreUnanswered)
{
  StartTask(0.5);
  RunUntil([] { return false; }, milliseconds(120000));
  EXPECT_EQ(backendServer_->lapses_, 0);
}

// A single poll without an answer must not keep new work off its backend server.
TEST_F(LostAnswersTest, OneUnansweredPollMakesNoBackendServerSilent)
{
  StartTask(0.0);
  milliseconds unusable{ 0 };
  const auto observe = [&] {
    unusable += runs_->IsUsable(backends_.At(backend_)) ? milliseconds(0) : kStep;
    return false;
  };
  for (int lost = 0; lost < 10; ++lost) {
    backendServer_->lostPolls_ = 1;
    RunUntil(observe, milliseconds(5000));
  }
  EXPECT_EQ(unusable, milliseconds(0));
}

// The repeats must not extend the lease of a backend server that is gone: its tasks wait for it.
TEST_F(LostAnswersTest, RepeatsDoNotExtendTheLease)
{
  StartTask(0.0);
  RunUntil([] { return false; }, milliseconds(5000));
  backendServer_->isDead_ = true;
  const TimePoint begin = clock_.Now();
  RunUntil([this] { return jobs_.At(task_).phase_ != TaskPhase::Active; }, milliseconds(20000));
  // The poll that is open when it dies, one lease, and the time limit of a poll after it.
  EXPECT_LT(clock_.Now() - begin, milliseconds(7500));
  EXPECT_LT(backendServer_->polls_, 80);
}

// LOST: a task whose starts got lost waited for the deadline of each one.
TEST_F(LostAnswersTest, ALostStartIsSentAgainBeforeItsDeadline)
{
  StartTask(0.0, 2);
  RunUntil([this] { return backendServer_->IsRunning(); }, milliseconds(1000));
  EXPECT_TRUE(backendServer_->IsRunning());
}

// LOST: after a change of leader, tasks waited for a backend server whose first poll got lost.
TEST_F(LostAnswersTest, ANewLeaderPollsAgainBeforeTheFirstPollHasFailed)
{
  Lead(0.0);
  runs_->AddRecorded(Entry());
  backendServer_->lostPolls_ = 1;
  RunUntil([this] { return runs_->UnreconciledServices().empty(); }, kCallTimeout);
  EXPECT_TRUE(runs_->UnreconciledServices().empty());
}

// Answers that a slow leader reads late must not cost further polls.
TEST_F(LostAnswersTest, ASteadyBackendServerIsNotPolledMoreOften)
{
  StartTask(0.0);
  RunUntil([] { return false; }, milliseconds(60000));
  EXPECT_EQ(runs_->TakeRepeatedPolls(), 0U);
}

}
}
