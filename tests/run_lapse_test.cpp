#include "no_commands.h"
#include "sardinespoke/manual_clock.h"
#include "sardinespoke/run_tracker.h"

#include <gtest/gtest.h>

#include <deque>

namespace sardinespoke {
namespace {

using std::chrono::milliseconds;

constexpr char kBackend[] = "backend-0";
constexpr char kJob[] = "00000000000000b1";

/// Starts succeed at once; polls wait until the test answers them.
class HeldPolls final : public BackendCommandsI
{
public:
  void Start(const StartCommand& aCommand, OnResult aDone) override
  {
    startDeadline_ = aCommand.deadline_;
    CommandResult result;
    result.outcome_ = CommandOutcome::Done;
    result.clock_ = startClock_;
    aDone(result);
  }
  void Stop(const StopCommand&, OnResult) override {}
  void Throttle(const ThrottleCommand&, OnResult) override {}
  void Poll(const PollCommand& aCommand, OnPollResult aDone) override
  {
    held_.push_back(std::move(aDone));
    pollDeadline_ = aCommand.deadline_;
  }
  void ChangeHost(const HostCommand&, OnResult) override {}
  void ListHosts(OnHosts) override {}
  void Advise(const AdviceQuery&, OnAdvice) override {}

  std::deque<OnPollResult> held_;
  int64_t startDeadline_ = 0;
  int64_t startClock_ = 0;
  int64_t pollDeadline_ = 0; ///< Of the newest poll; 0: it asked for no lease.
};

/// One task on one backend server.
class RunLapseTest : public testing::Test
{
protected:
  void SetUp() override
  {
    JobSpec spec;
    spec.id_ = kJob;
    spec.steps_.emplace_back().taskCount_ = 1;
    const uint32_t job = jobs_.Add(spec, QueuePolicy(), clock_.Now(), milliseconds(0));
    jobs_.OpenDueOccurrences(jobs_.At(job), milliseconds(0));
    ASSERT_TRUE(jobs_.Locate(TaskId{ kJob, 0, 0, 0 }, task_));
    BackendEntry entry;
    entry.id_ = kBackend;
    entry.address_ = "10.0.0.1:1";
    runs_.ApplyRegistry({ entry });
    backend_ = backends_.Find(kBackend);
    runs_.Tick();
    Answer(ListAt(clockMs_));
    backends_.At(backend_).recorded_ = true;
    ASSERT_TRUE(runs_.IsUsable(backends_.At(backend_)));
  }

  void Advance(milliseconds aTime)
  {
    clock_.Advance(aTime);
    clockMs_ += aTime.count();
  }

  static PollResult ListAt(int64_t aClock)
  {
    PollResult list;
    list.outcome_ = CommandOutcome::Done;
    list.clock_ = aClock;
    return list;
  }

  void Answer(const PollResult& aResult)
  {
    ASSERT_EQ(commands_.held_.size(), 1U);
    const auto done = std::move(commands_.held_.front());
    commands_.held_.pop_front();
    done(aResult);
  }

  ManualClock clock_;
  int64_t clockMs_ = 1000000; ///< The backend server's clock, which runs like ours.
  HeldPolls commands_;
  JobTable jobs_;
  BackendTable backends_;
  BackendHandle backend_;
  TaskRef task_;
  RunTracker runs_{ jobs_, backends_, commands_, clock_, RunLimits(), 1 };
};

// A run must not be given up while a poll is under way. TWICE: the leader decides before it reads
// its sockets, so that a late leader took a list that it had not read for silence.
TEST_F(RunLapseTest, IsNotGivenUpWhileAPollIsUnderWay)
{
  const int64_t run = runs_.NextRun();
  commands_.startClock_ = clockMs_;
  runs_.Start(task_, backend_, run);
  Advance(milliseconds(60));
  runs_.Tick(); // Renews the lease; its answer is lost.
  Advance(milliseconds(2400));
  Answer(PollResult());
  Advance(milliseconds(150));
  runs_.Tick(); // Polls again.
  ASSERT_EQ(commands_.held_.size(), 1U);
  Advance(milliseconds(3000)); // The leader is late: the lease ends before it reads the answer.
  runs_.Tick();
  EXPECT_EQ(jobs_.At(task_).phase_, TaskPhase::Active);
  PollResult list = ListAt(clockMs_);
  list.ended_.push_back(
    EndedTask{ 1, RunId{ TaskId{ kJob, 0, 0, 0 }.Text(), run }, RunOutcome::Done, "" });
  Answer(list);
  EXPECT_EQ(jobs_.At(task_).phase_, TaskPhase::Done);
}

// A run that no poll answers for must be given up soon after its lease has ended.
TEST_F(RunLapseTest, IsGivenUpWhenAPollAfterTheLeaseIsUnanswered)
{
  commands_.startClock_ = clockMs_;
  runs_.Start(task_, backend_, runs_.NextRun());
  const TimePoint begin = clock_.Now();
  while (jobs_.At(task_).phase_ == TaskPhase::Active &&
         clock_.Now() - begin < milliseconds(10000)) {
    Advance(milliseconds(50));
    runs_.Tick();
    if (!commands_.held_.empty()) {
      Advance(milliseconds(400));
      Answer(PollResult());
    }
  }
  EXPECT_EQ(jobs_.At(task_).phase_, TaskPhase::Waiting);
  EXPECT_LT(clock_.Now() - begin, milliseconds(6500));
}

// An answer that was read late must not set the clock of its backend server back: the deadlines of
// the next starts would be early by the delay.
TEST_F(RunLapseTest, ALateAnswerDoesNotSetTheClockBack)
{
  commands_.startClock_ = clockMs_;
  runs_.Start(task_, backend_, runs_.NextRun());
  Advance(milliseconds(60));
  runs_.Tick();
  const int64_t listed = clockMs_; // The list is made now and read 2 s later.
  Advance(milliseconds(2000));
  Backend& backend = backends_.At(backend_);
  const int64_t known = backend.ClockNow(clock_.Now());
  Answer(ListAt(listed));
  EXPECT_GE(backend.ClockNow(clock_.Now()), known);
}

// The known clock must follow a backend server whose clock has stood still: a deadline ahead of it
// would be a longer lease than the leader counts.
TEST_F(RunLapseTest, AClockThatStoodStillIsReadAgain)
{
  commands_.startClock_ = clockMs_;
  runs_.Start(task_, backend_, runs_.NextRun());
  clock_.Advance(milliseconds(3000));
  runs_.Tick();
  Answer(ListAt(clockMs_));
  EXPECT_LE(backends_.At(backend_).ClockNow(clock_.Now()), clockMs_);
}

// A run must get a lease although a poll sent before its start is still unanswered. Fault: on a
// leader at its processor limit, starts on a new backend server lapsed after 1.5 s.
TEST_F(RunLapseTest, AsksForALeaseWhileAnEarlierPollIsUnderWay)
{
  Backend& backend = backends_.At(backend_);
  backend.endsApplied_ = 1;
  backend.endsStored_ = 1;
  Advance(milliseconds(100));
  runs_.Tick(); // Acknowledges the end.
  ASSERT_EQ(commands_.held_.size(), 1U);
  EXPECT_EQ(commands_.pollDeadline_, 0);
  commands_.startClock_ = clockMs_;
  runs_.Start(task_, backend_, runs_.NextRun());
  Advance(milliseconds(60));
  runs_.Tick();
  ASSERT_EQ(commands_.held_.size(), 2U);
  EXPECT_GT(commands_.pollDeadline_, commands_.startDeadline_);
  Advance(milliseconds(60));
  runs_.Tick();
  EXPECT_EQ(commands_.held_.size(), 2U);
}

// Polls that list the same ends again must be spaced out until the store has taken them. Fault: a
// busy leader read up to 50 ends in each of 900 answers a second, none of them new.
TEST_F(RunLapseTest, PollsThatRepeatEndsAreSpacedOut)
{
  constexpr int64_t kEnds = 50;
  commands_.startClock_ = clockMs_;
  runs_.Start(task_, backend_, runs_.NextRun());
  const RunId run{ TaskId{ kJob, 0, 0, 0 }.Text(), runs_.NextRun() - 1 };
  const auto listEnds = [&] {
    PollResult list = ListAt(clockMs_);
    list.running_.push_back(RunningTask{ run, "", 10, 0 });
    for (int64_t number = 1; number <= kEnds; ++number) {
      const TaskId other{ "00000000000000ff", 0, 0, static_cast<uint32_t>(number) };
      list.ended_.push_back(EndedTask{ number, RunId{ other.Text(), 1 }, RunOutcome::Done, "" });
    }
    return list;
  };
  const auto timeUntilPoll = [&] {
    const TimePoint begin = clock_.Now();
    while (commands_.held_.empty() && clock_.Now() - begin < milliseconds(2000)) {
      Advance(milliseconds(5));
      runs_.Tick();
    }
    return clock_.Now() - begin;
  };
  EXPECT_LE(timeUntilPoll(), milliseconds(100));
  Answer(listEnds());
  EXPECT_LE(timeUntilPoll(), milliseconds(100)); // News may have come meanwhile.
  Answer(listEnds());
  EXPECT_GE(timeUntilPoll(), milliseconds(250));
  Answer(listEnds());
  runs_.EndsStored({ { backend_.index_, kEnds } });
  EXPECT_LE(timeUntilPoll(), milliseconds(100));
}

/// Replaces a backend server under a run that has just begun.
class RunReplacementTest : public RunLapseTest
{
protected:
  /// @returns Crashes that the task of the run then counts.
  uint32_t CrashesAfterReplacement(const std::string& aNewHost)
  {
    BackendEntry entry;
    entry.id_ = "backend-1";
    entry.address_ = "10.0.0.2:1";
    entry.host_ = "host-1";
    entry.startTimeMs_ = 1000;
    runs_.ApplyRegistry({ entry });
    const BackendHandle old = backends_.Find(entry.id_);
    AnswerNewestPoll(entry.startTimeMs_);
    backends_.At(old).recorded_ = true;
    commands_.startClock_ = clockMs_;
    runs_.Start(task_, old, runs_.NextRun());
    entry.id_ = "backend-2";
    entry.host_ = aNewHost;
    entry.startTimeMs_ = 5000;
    runs_.ApplyRegistry({ entry });
    AnswerNewestPoll(entry.startTimeMs_);
    EXPECT_TRUE(backends_.At(old).hasEnded_);
    EXPECT_EQ(jobs_.At(task_).phase_, TaskPhase::Waiting);
    return jobs_.CrashesOf(task_);
  }

  void AnswerNewestPoll(int64_t aStartTimeMs)
  {
    Advance(milliseconds(10));
    runs_.Tick();
    ASSERT_FALSE(commands_.held_.empty());
    const auto done = std::move(commands_.held_.back());
    commands_.held_.pop_back();
    PollResult list = ListAt(clockMs_);
    list.startTimeMs_ = aStartTimeMs;
    done(list);
  }
};

// A backend server whose address another host has was replaced. LOST: a release with reused
// addresses failed two jobs, whose tasks had been on two such backend servers.
TEST_F(RunReplacementTest, AnAddressTakenByAnotherHostIsNoCrash)
{
  EXPECT_EQ(CrashesAfterReplacement("host-2"), 0U);
}

// One that comes back on its host may have crashed.
TEST_F(RunReplacementTest, ANewerBackendServerOnTheSameHostIsACrash)
{
  EXPECT_EQ(CrashesAfterReplacement("host-1"), 1U);
}

// If another backend server answers at its address, the earlier one may have crashed or been
// replaced. LOST: a task that two such answers found alone failed its job.
TEST_F(RunReplacementTest, AnotherBackendServerThatAnswersGivesNoTaskUp)
{
  jobs_.SetCrashes(task_, 1);
  commands_.startClock_ = clockMs_;
  runs_.Start(task_, backend_, runs_.NextRun());
  Advance(milliseconds(60));
  runs_.Tick();
  PollResult other;
  other.outcome_ = CommandOutcome::OtherIncarnation;
  Answer(other);
  EXPECT_EQ(jobs_.CrashesOf(task_), 2U);
  EXPECT_FALSE(jobs_.At(task_.job_).HasEnded());
}

}
}
