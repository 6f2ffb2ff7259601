#include "job_steps.h"
#include "job_world.h"

#include <gtest/gtest.h>

namespace sardinespoke {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kPool[] = "births";

/// Cancellations that come before their job: the entry host that has its submission was paused.
class EarlyCancelTest : public testing::Test
{
protected:
  void SetUp() override
  {
    world_.AddPool(kPool, 4, kHost);
    world_.Configure();
    Begin(seconds(20));
  }

  /// @param aKept How long ended jobs are kept.
  void Begin(seconds aKept)
  {
    world_.Settings().keepEnded_ = aKept;
    if (const auto leader = world_.Leader()) {
      world_.Restart(*leader);
    }
    world_.Run(seconds(3));
  }

  JobResponseKind Submit(unsigned int aJob)
  {
    return world_.Submit(kPool, JobId(aJob), Tasks(2)).kind_;
  }

  JobResponseKind Cancel(unsigned int aJob) { return world_.Cancel(kPool, JobId(aJob)).kind_; }

  bool IsStored(unsigned int aJob)
  {
    return world_.Store().Records().count(JobJournal::JobKey(JobId(aJob))) > 0;
  }

  JobWorld world_;
};

// UNASKED: the job ran to its end after its cancellation was acknowledged.
TEST_F(EarlyCancelTest, SubmissionThatArrivesLaterDoesNotRun)
{
  EXPECT_EQ(Cancel(1), JobResponseKind::NoJob);
  EXPECT_EQ(Submit(1), JobResponseKind::Refused);
  world_.Run(seconds(5));
  EXPECT_EQ(world_.Starts(), 0U);
  EXPECT_EQ(Cancel(1), JobResponseKind::NoJob);
}

// The acknowledgement must outlive the leader.
TEST_F(EarlyCancelTest, NextLeaderKnowsIt)
{
  EXPECT_EQ(Cancel(1), JobResponseKind::NoJob);
  world_.Restart(*world_.Leader());
  EXPECT_EQ(Submit(1), JobResponseKind::Refused);
  world_.Run(seconds(5));
  EXPECT_EQ(world_.Starts(), 0U);
}

// A job that was never handed in must not be shown.
TEST_F(EarlyCancelTest, JobIsNotShown)
{
  EXPECT_EQ(Cancel(1), JobResponseKind::NoJob);
  JobRequest request;
  request.host_ = "callers";
  request.path_ = "/births/" + JobId(1);
  EXPECT_EQ(world_.Call(request).kind_, JobResponseKind::NoJob);
  request.path_ = "/births/";
  EXPECT_EQ(world_.Call(request).pending_, 0U);
}

// It is kept as long as an ended job and leaves nothing in the store.
TEST_F(EarlyCancelTest, IsForgottenInTime)
{
  EXPECT_EQ(Cancel(1), JobResponseKind::NoJob);
  EXPECT_TRUE(IsStored(1));
  world_.Run(seconds(19));
  EXPECT_EQ(Submit(1), JobResponseKind::Refused);
  world_.Run(seconds(3));
  EXPECT_FALSE(IsStored(1));
  EXPECT_EQ(Submit(1), JobResponseKind::Accepted);
}

// Without the store, a cancellation must not be acknowledged.
TEST_F(EarlyCancelTest, IsNotAcknowledgedWithoutTheStore)
{
  world_.StoreOf(*world_.Leader()).fault_ = MemoryRecordStore::Fault::Unresponsive;
  EXPECT_NE(Cancel(1), JobResponseKind::NoJob);
}

// A caller that cancels ids at random must not fill the memory and the store.
TEST_F(EarlyCancelTest, TheirNumberIsBounded)
{
  constexpr unsigned int kLimit = 4096;
  Begin(seconds(1000));
  for (unsigned int job = 1; job <= kLimit; ++job) {
    ASSERT_EQ(Cancel(job), JobResponseKind::NoJob) << job;
  }
  EXPECT_EQ(Cancel(kLimit + 1), JobResponseKind::Refused);
  EXPECT_EQ(Submit(kLimit + 2), JobResponseKind::Accepted);
}

}
}
