#include "memory_record_store.h"
#include "no_commands.h"
#include "sardinespoke/job_journal.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <map>

namespace sardinespoke {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kStep{ 5 };
constexpr milliseconds kCallTimeout{ 700 };
constexpr milliseconds kLate{ 2000 };
constexpr size_t kMostOpenCopies = 4;

/// What becomes of a transaction.
enum class Fate
{
  Answered,
  AnswerLost, ///< Carried out, not answered.
  Late,       ///< Carried out after kLate if its condition still holds, not answered.
  Dropped,    ///< Neither carried out nor answered.
  Refused
};

/// Gives each transaction of the journal the next fate of a list, or else the usual one.
class FatefulStore final : public RecordStoreI
{
public:
  FatefulStore(MemoryRecordStore& aStore, EventQueue& aEvents)
    : client_(aStore)
    , events_(aEvents)
  {
  }

  void Range(const std::string& aPrefix, const std::string& aAfter, Done aDone) override
  {
    client_.Range(aPrefix, aAfter, std::move(aDone));
  }
  void Watch(const std::string& aPrefix, int64_t aAfter, milliseconds aWait, Done aDone) override
  {
    if (!watchesSilent_) {
      client_.Watch(aPrefix, aAfter, aWait, std::move(aDone));
    }
  }
  void Grant(milliseconds aTtl, Done aDone) override { client_.Grant(aTtl, std::move(aDone)); }
  void Renew(uint64_t aLease, Done aDone) override { client_.Renew(aLease, std::move(aDone)); }

  void Commit(const RecordTransaction& aChange, Done aDone) override
  {
    const auto& writes = aChange.writes_;
    if (writes.empty() || writes.front().key_ != JobJournal::JournalKey()) {
      client_.Commit(aChange, std::move(aDone));
      return;
    }
    ++sent_;
    mostOpen_ = std::max(mostOpen_, ++open_);
    const Done done = [this, aDone](const RecordReply& aReply) {
      --open_;
      aDone(aReply);
    };
    Fate fate = usual_;
    if (!next_.empty()) {
      fate = next_.front();
      next_.pop_front();
    }
    Play(fate, aChange, done);
  }

  std::deque<Fate> next_;
  Fate usual_ = Fate::Answered;
  milliseconds delay_{ 0 }; ///< Of answers.
  bool watchesSilent_ = false;
  size_t sent_ = 0;
  size_t open_ = 0;
  size_t mostOpen_ = 0;

private:
  void Play(Fate aFate, const RecordTransaction& aChange, const Done& aDone)
  {
    RecordReply none;
    switch (aFate) {
      case Fate::Answered:
        client_.Commit(aChange, [this, aDone](const RecordReply& aReply) {
          events_.ScheduleAfter(delay_, [aDone, aReply] { aDone(aReply); });
        });
        return;
      case Fate::Refused:
        none.outcome_ = RecordOutcome::Refused;
        events_.ScheduleAfter(kStep, [aDone, none] { aDone(none); });
        return;
      case Fate::AnswerLost:
        client_.Commit(aChange, [](const RecordReply&) {});
        break;
      case Fate::Late:
        events_.ScheduleAfter(
          kLate, [this, aChange] { client_.Commit(aChange, [](const RecordReply&) {}); });
        break;
      case Fate::Dropped:
        break;
    }
    events_.ScheduleAfter(kCallTimeout, [aDone, none] { aDone(none); });
  }

  MemoryRecordStore::Client client_;
  EventQueue& events_;
};

LeadershipSettings
LeaderSettings()
{
  LeadershipSettings settings;
  settings.name_ = "entry-0";
  settings.incarnation_ = "entry-0-1";
  settings.address_ = "10.0.1.1:1";
  settings.key_ = std::string(JobJournal::kPrefix) + "leader";
  return settings;
}

class UnansweredStoreTest : public testing::Test
{
protected:
  void SetUp() override
  {
    for (int step = 0; step < 100 && !leadership_.IsLeader(); ++step) {
      Run(kStep);
    }
    ASSERT_TRUE(leadership_.IsLeader());
  }

  void Run(milliseconds aTime)
  {
    for (milliseconds time{ 0 }; time < aTime; time += kStep) {
      clock_.Advance(kStep);
      records_.Step();
      events_.Run();
      leadership_.Tick();
      journal_.Tick();
      stalled_ = stalled_ || journal_.IsStalled();
    }
  }

  uint32_t Submit()
  {
    JobSpec spec;
    spec.id_ = "job-" + std::to_string(jobCount_++);
    const uint32_t job = jobs_.Add(spec, QueuePolicy(), clock_.Now(), milliseconds(0));
    journal_.Submit(job, [this, job](JournalOutcome aOutcome) { outcomes_[job] = aOutcome; });
    return job;
  }

  bool Has(uint32_t aJob, JournalOutcome aOutcome) const
  {
    const auto found = outcomes_.find(aJob);
    return found != outcomes_.end() && found->second == aOutcome;
  }

  /// @returns Revision of a job's record in the store; 0: it has none.
  int64_t RevisionOf(uint32_t aJob) const
  {
    const auto found = records_.Records().find(JobJournal::JobKey(jobs_.At(aJob).spec_.id_));
    return found == records_.Records().end() ? 0 : found->second.revision_;
  }

  ManualClock clock_;
  EventQueue events_{ clock_ };
  MemoryRecordStore records_{ clock_, events_ };
  FatefulStore store_{ records_, events_ };
  NoCommands commands_;
  JobTable jobs_;
  BackendTable backends_;
  RunTracker runs_{ jobs_, backends_, commands_, clock_, RunLimits(), 1 };
  Leadership leadership_{ store_, clock_, LeaderSettings() };
  Metrics metrics_;
  JobJournal journal_{ store_, clock_, jobs_, backends_, runs_, leadership_, metrics_ };
  std::map<uint32_t, JournalOutcome> outcomes_;
  uint32_t jobCount_ = 0;
  bool stalled_ = false;
};

// A lost answer must delay its callers, and those behind them, by little. Fault: it was noticed
// after 700 ms; all hand-ins were refused from 500 ms on.
TEST_F(UnansweredStoreTest, OneLostAnswerDelaysItsCallersLittle)
{
  store_.next_ = { Fate::AnswerLost };
  const uint32_t first = Submit();
  Run(milliseconds(20));
  const int64_t revision = RevisionOf(first);
  EXPECT_NE(revision, 0);
  const uint32_t second = Submit();
  Run(milliseconds(130));
  EXPECT_TRUE(Has(first, JournalOutcome::Stored));
  EXPECT_TRUE(Has(second, JournalOutcome::Stored));
  Run(seconds(2));
  EXPECT_FALSE(stalled_);
  EXPECT_EQ(RevisionOf(first), revision) << "written twice";
}

// Several lost answers in a row must refuse nobody either.
TEST_F(UnansweredStoreTest, LostAnswersInARowRefuseNobody)
{
  store_.next_ = { Fate::AnswerLost, Fate::AnswerLost, Fate::AnswerLost };
  const uint32_t first = Submit();
  Run(milliseconds(10));
  const uint32_t second = Submit();
  Run(milliseconds(490));
  EXPECT_TRUE(Has(first, JournalOutcome::Stored));
  EXPECT_TRUE(Has(second, JournalOutcome::Stored));
  EXPECT_FALSE(stalled_);
}

// A store that loses one answer in ten must refuse nobody. Fault: 1,126 hand-ins of one play were
// refused after 19 unanswered transactions.
TEST_F(UnansweredStoreTest, ATenthOfLostAnswersRefusesNobody)
{
  for (int count = 0; count < 500; ++count) {
    if (count % 5 == 0) {
      store_.next_.push_back(count % 50 == 0 ? Fate::AnswerLost : Fate::Answered);
    }
    Submit();
    Run(milliseconds(20));
  }
  Run(seconds(1));
  EXPECT_FALSE(stalled_);
  EXPECT_EQ(outcomes_.size(), jobCount_);
  for (const auto& [job, outcome] : outcomes_) {
    EXPECT_EQ(outcome, JournalOutcome::Stored) << job;
  }
}

// A copy that is carried out seconds later must not undo what was written after it.
TEST_F(UnansweredStoreTest, LateCopiesHaveNoEffect)
{
  store_.next_ = { Fate::Late, Fate::Late };
  const uint32_t job = Submit();
  Run(milliseconds(300));
  ASSERT_TRUE(Has(job, JournalOutcome::Stored));
  jobs_.At(job).cancelled_ = true;
  jobs_.Touch(job);
  Run(milliseconds(300));
  const auto before = records_.Records();
  Run(kLate + seconds(1));
  const auto key = JobJournal::ProgressKey(jobs_.At(job).spec_.id_);
  ASSERT_EQ(before.count(key), 1U);
  EXPECT_EQ(records_.Records().at(key).value_, before.at(key).value_);
  EXPECT_EQ(RevisionOf(job), before.at(JobJournal::JobKey("job-0")).revision_);
}

// A refusal of one copy must not count as "not stored" while another one has no answer.
TEST_F(UnansweredStoreTest, ARefusedCopyTellsNothingAboutAnUnansweredOne)
{
  store_.next_ = { Fate::Late };
  store_.usual_ = Fate::Refused;
  const uint32_t job = Submit();
  Run(milliseconds(1000));
  EXPECT_FALSE(Has(job, JournalOutcome::NotStored));
  Run(kLate);
  EXPECT_FALSE(Has(job, JournalOutcome::NotStored));
  EXPECT_NE(RevisionOf(job), 0);
  const int64_t revision = RevisionOf(job);
  store_.usual_ = Fate::Answered;
  Run(seconds(1));
  EXPECT_TRUE(journal_.IsIdle());
  EXPECT_EQ(RevisionOf(job), revision) << "written twice";
}

// Refusals of all copies mean that the job is not stored, and that it never will be.
TEST_F(UnansweredStoreTest, RefusalsOfAllCopiesMeanNotStored)
{
  store_.usual_ = Fate::Refused;
  const uint32_t job = Submit();
  Run(seconds(1));
  EXPECT_TRUE(Has(job, JournalOutcome::NotStored));
  store_.usual_ = Fate::Answered;
  Run(seconds(4));
  EXPECT_EQ(RevisionOf(job), 0);
}

// Hand-ins must be accepted once the store takes changes again, also if none is left to write.
// Fault: an idle leader went on refusing them.
TEST_F(UnansweredStoreTest, AnIdleLeaderNoticesTheEndOfRefusals)
{
  store_.usual_ = Fate::Refused;
  Submit();
  Run(seconds(1));
  EXPECT_TRUE(journal_.IsStalled());
  store_.usual_ = Fate::Answered;
  Run(milliseconds(200));
  EXPECT_FALSE(journal_.IsStalled());
}

// A conflict that comes from another leader must end the leadership at once, and say nothing about
// the transaction.
TEST_F(UnansweredStoreTest, AConflictByAnotherLeaderEndsTheLeadership)
{
  store_.watchesSilent_ = true;
  Run(seconds(3));
  store_.next_ = { Fate::Dropped };
  const uint32_t job = Submit();
  Run(milliseconds(10));
  records_.Put(LeaderSettings().key_, "another");
  Run(milliseconds(190));
  EXPECT_FALSE(leadership_.IsLeader());
  EXPECT_EQ(outcomes_.count(job), 0U);
  journal_.Abandon();
  EXPECT_TRUE(Has(job, JournalOutcome::Unknown));
}

// A change of the journal's record by another writer must not pass for the open transaction.
TEST_F(UnansweredStoreTest, AForeignWriteOfTheJournalIsNotTakenForTheTransaction)
{
  store_.next_ = { Fate::Dropped };
  const uint32_t job = Submit();
  Run(milliseconds(10));
  records_.Put(JobJournal::JournalKey(), "");
  Run(milliseconds(190));
  EXPECT_TRUE(Has(job, JournalOutcome::Stored));
  EXPECT_NE(RevisionOf(job), 0);
}

// A slow store must not be flooded with copies.
TEST_F(UnansweredStoreTest, ASlowStoreIsSentFewCopies)
{
  store_.delay_ = milliseconds(400);
  constexpr size_t kTransactions = 10;
  for (size_t count = 0; count < kTransactions; ++count) {
    const uint32_t job = Submit();
    Run(milliseconds(450));
    EXPECT_TRUE(Has(job, JournalOutcome::Stored));
  }
  EXPECT_FALSE(stalled_);
  EXPECT_LE(store_.mostOpen_, kMostOpenCopies);
  EXPECT_LE(store_.sent_, kTransactions + kMostOpenCopies);
}

// A store without any answer must be noticed, not flooded; who was not sent is told so.
TEST_F(UnansweredStoreTest, AStoreWithoutAnswersIsNoticedAndNotFlooded)
{
  store_.usual_ = Fate::Dropped;
  const uint32_t sent = Submit();
  Run(milliseconds(50));
  const uint32_t waiting = Submit();
  Run(milliseconds(500));
  EXPECT_TRUE(journal_.IsStalled());
  EXPECT_TRUE(Has(waiting, JournalOutcome::NotStored));
  EXPECT_EQ(outcomes_.count(sent), 0U);
  Run(seconds(10));
  EXPECT_TRUE(Has(sent, JournalOutcome::Unknown));
  EXPECT_LE(store_.mostOpen_, kMostOpenCopies);
  EXPECT_LE(store_.sent_, 24U);
  store_.usual_ = Fate::Answered;
  Run(seconds(1));
  EXPECT_FALSE(journal_.IsStalled());
  EXPECT_NE(RevisionOf(sent), 0);
  EXPECT_EQ(RevisionOf(waiting), 0);
}

}
}
