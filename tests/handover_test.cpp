#include "job_steps.h"
#include "job_world.h"

#include <gtest/gtest.h>

namespace sardinespoke {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr size_t kHosts = 5;
constexpr uint32_t kTasks = 4;

/// Tasks that last, one on each of four hosts.
class HandoverTest : public testing::Test
{
protected:
  void SetUp() override
  {
    world_.AddPool("births", kHosts, kHost);
    world_.Configure();
    world_.Run(seconds(1));
    StepSpec step = Tasks(kTasks);
    step.continuous_ = true;
    step.maxPerServer_ = 1;
    step.maxUnavailable_ = 1;
    ASSERT_EQ(world_.Submit("births", JobId(1), step).kind_, JobResponseKind::Accepted);
    ASSERT_TRUE(world_.RunUntil([&] { return world_.Starts() == kTasks; }, seconds(3)));
    while (world_.Fleet().RunsOn("births", busy_) == 0) {
      ++busy_;
    }
  }

  void TearDown() override
  {
    EXPECT_FALSE(world_.Fleet().Violations().Any()) << world_.Fleet().Violations().first_;
  }

  JobWorld world_{ 4 };
  size_t busy_ = 0; ///< A host that runs a task.
};

// A lease that ends must not be waited for again by each new leader. LOST: in a rolling restart,
// three leaders in turn waited for the same gone backend server, 11 s in all.
TEST_F(HandoverTest, ALeaseIsNotCountedAnewByEachLeader)
{
  const TimePoint gone = world_.Clock().Now();
  world_.Fleet().Crash("births", busy_);
  for (int restart = 0; restart < 3; ++restart) {
    world_.Run(milliseconds(1900));
    const auto leader = world_.Leader();
    ASSERT_TRUE(leader.has_value());
    world_.Stop(*leader);
  }
  ASSERT_TRUE(world_.RunUntil([&] { return world_.Starts() == kTasks + 1; }, seconds(8)));
  EXPECT_LT(world_.Clock().Now() - gone, milliseconds(7000));
}

// The same for a backend server that is gone before a leader has noticed: LOST, as the next leader
// assumed the longest lease.
TEST_F(HandoverTest, LeasesOfRespondingServersAreHandedOver)
{
  const TimePoint gone = world_.Clock().Now();
  world_.Fleet().Crash("births", busy_);
  world_.Stop(0);
  ASSERT_TRUE(world_.RunUntil([&] { return world_.Starts() == kTasks + 1; }, seconds(8)));
  EXPECT_LT(world_.Clock().Now() - gone, milliseconds(6000));
}

// A handover is worth nothing after another leader: that one may have renewed the lease.
TEST_F(HandoverTest, AHandoverIsOfTheLastLeaderOnly)
{
  const std::string host = world_.Fleet().HostOf("births", busy_);
  for (size_t entry : { 0, 2 }) {
    world_.FleetOf(entry).unreachableHosts_.insert(host);
  }
  world_.PauseHost(3);
  world_.Run(milliseconds(4200));
  ASSERT_EQ(world_.Leader(), 0U);
  ASSERT_EQ(world_.Starts(), kTasks) << "the lease is not over yet";
  world_.Stop(0);
  world_.PauseHost(0);
  ASSERT_TRUE(world_.RunUntil([&] { return world_.Leader() == 1U; }, seconds(3)));
  world_.Run(milliseconds(300)); // The second leader reaches the host and renews the lease.
  world_.PauseHost(1);
  ASSERT_TRUE(world_.RunUntil([&] { return world_.Leader() == 2U; }, seconds(4)));
  world_.Run(seconds(9));
  EXPECT_EQ(world_.Starts(), kTasks + 1);
}

TEST(Handover, ReadsBackWhatItWrites)
{
  Handover handover;
  handover.fencingToken_ = 42;
  handover.remainingLeases_["i-1"] = milliseconds(1700);
  handover.openStarts_ = { OpenStart{
                             "i-1", "m-1", JobId(1) + ".0.0.0", 7, milliseconds(900), true },
                           OpenStart{ "i-2", "", JobId(1) + ".0.0.1", 8, milliseconds(0), false } };
  const Handover read = Handover::Parse(handover.Serialize());
  EXPECT_EQ(read.fencingToken_, 42);
  EXPECT_EQ(read.remainingLeases_, handover.remainingLeases_);
  EXPECT_EQ(read.openStarts_, handover.openStarts_);
}

// A handover of an earlier release must still count.
TEST(Handover, ReadsOneWithoutOpenStarts)
{
  const Handover read = Handover::Parse(R"({"fence":4,"leases":{"i-1":50}})");
  EXPECT_EQ(read.fencingToken_, 4);
  EXPECT_EQ(read.remainingLeases_.at("i-1"), milliseconds(50));
  EXPECT_TRUE(read.openStarts_.empty());
}

// A record larger than the store accepts would leave no handover at all.
TEST(Handover, FitsInARecord)
{
  constexpr size_t kStarts = 20000;
  constexpr size_t kRecordBytes = 1 << 20;
  Handover handover;
  for (size_t index = 0; index < kStarts; ++index) {
    const std::string longId(150, 'i');
    handover.openStarts_.push_back(OpenStart{ longId,
                                              longId,
                                              longId,
                                              static_cast<int64_t>(index + 1),
                                              milliseconds(index),
                                              index % 2 == 0 });
  }
  handover.LimitOpenStarts();
  EXPECT_LT(handover.Serialize().size(), kRecordBytes);
  ASSERT_FALSE(handover.openStarts_.empty());
  for (const OpenStart& start : handover.openStarts_) {
    EXPECT_TRUE(start.blocksTask_);
    EXPECT_LT(start.age_, milliseconds(kStarts / 2));
  }
}

// An unreadable handover must count as none: a lease would be taken for shorter than it is.
TEST(Handover, OddTextsAreNoHandover)
{
  for (const char* text : { "",
                            "42",
                            "[]",
                            "{}",
                            R"({"fence":"4","leases":{}})",
                            R"({"fence":4})",
                            R"({"fence":4,"leases":[1]})",
                            R"({"fence":4,"leases":{"i-1":50},"starts":4})",
                            R"({"fence":4,"leases":{"i-1":50},"starts":[{"backend":"i-1"}]})",
                            R"({"fence":4,"leases":{"i-1":-5}})" }) {
    const Handover handover = Handover::Parse(text);
    EXPECT_TRUE(handover.fencingToken_ == 0 || handover.remainingLeases_.empty()) << text;
  }
}

}
}
