#include "sardinespoke/crash_suspects.h"

#include <gtest/gtest.h>

namespace sardinespoke {
namespace {

using std::chrono::milliseconds;

// The first crash must not name a task: its backend server may have ended for another reason.
TEST(CrashSuspectsTest, OneCrashGivesNoTaskUp)
{
  EXPECT_EQ(CrashSuspects::Judge({ 1, 1, false }), CrashVerdict::Suspect);
  EXPECT_EQ(CrashSuspects::Judge({ 1, 12, false }), CrashVerdict::Suspect);
}

// A task that was alone in question is given up before a third backend server crashes, if hardly
// anything else explains it.
TEST(CrashSuspectsTest, SecondCrashNamesTheTaskThatWasAlone)
{
  EXPECT_EQ(CrashSuspects::Judge({ 2, 1, false, false, CrashSuspects::kMostDoubt }),
            CrashVerdict::GivenUp);
}

// LOST: sound jobs failed where backend servers crashed for other reasons.
TEST(CrashSuspectsTest, DoubtGivesNoTaskUpBeforeTheFourthCrash)
{
  const double doubt = CrashSuspects::kMostDoubt * 1.1;
  EXPECT_EQ(CrashSuspects::Judge({ 2, 1, false, false, doubt }), CrashVerdict::Suspect);
  EXPECT_EQ(CrashSuspects::Judge({ 3, 1, false, false, doubt }), CrashVerdict::Suspect);
  EXPECT_EQ(CrashSuspects::Judge({ 4, 1, false, false, doubt }), CrashVerdict::GivenUp);
}

// Others in question, or the loss of a rack, may explain the crash.
TEST(CrashSuspectsTest, SecondCrashOnWeakEvidenceGivesNoTaskUp)
{
  EXPECT_EQ(CrashSuspects::Judge({ 2, 2, false, false, 0.0 }), CrashVerdict::Suspect);
  EXPECT_EQ(CrashSuspects::Judge({ 2, 1, true, false, 0.0 }), CrashVerdict::Suspect);
}

// Three crashes and two more starts are the most that a task may have.
TEST(CrashSuspectsTest, FourthCrashGivesUpOnAnyEvidence)
{
  EXPECT_EQ(CrashSuspects::Judge({ 4, 9, true }), CrashVerdict::GivenUp);
}

// LOST: a release with reused addresses ended the jobs of continuous tasks as failed.
TEST(CrashSuspectsTest, ContinuousTasksAreNeverGivenUp)
{
  EXPECT_EQ(CrashSuspects::Judge({ 2, 1, false, true, 0.0 }), CrashVerdict::Suspect);
  EXPECT_EQ(CrashSuspects::Judge({ 9, 1, false, true, 0.0 }), CrashVerdict::Suspect);
}

// Suspects must not take a pool from the rest of the work.
TEST(CrashSuspectsTest, TrialsTakeAPartOfThePool)
{
  EXPECT_EQ(CrashSuspects::MostTrials(1), 1U);
  EXPECT_EQ(CrashSuspects::MostTrials(9), 3U);
}

// A run must be proven harmless before its task is cleared of earlier crashes.
TEST(CrashSuspectsTest, ProofTakesLessTimeThanClearance)
{
  EXPECT_FALSE(CrashSuspects::IsProven(CrashSuspects::kTrialTime - milliseconds(1)));
  EXPECT_TRUE(CrashSuspects::IsProven(CrashSuspects::kTrialTime));
  EXPECT_FALSE(CrashSuspects::IsCleared(CrashSuspects::kTrialTime));
  EXPECT_TRUE(CrashSuspects::IsCleared(CrashSuspects::kClearTime));
}

}
}
