#include "sardinespoke/intake_budget.h"
#include "sardinespoke/manual_clock.h"

#include <gtest/gtest.h>

#include <set>

namespace sardinespoke {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr uint64_t kMegabyte = 1U << 20U;

class IntakeBudgetTest : public testing::Test
{
protected:
  static IntakeLimits Limits()
  {
    IntakeLimits limits;
    limits.budgetBytes_ = 4 * kMegabyte;
    limits.maxConnections_ = 4;
    return limits;
  }

  IntakeBudget::ConnectionId Open(const std::string& aAddress)
  {
    const uint32_t number = opened_++;
    return budget_.Open(aAddress, [this, number] { closed_.insert(number); });
  }

  ManualClock clock_;
  IntakeBudget budget_{ Limits(), clock_ };
  std::set<uint32_t> closed_; ///< By order of Open().
  uint32_t opened_ = 0;
};

// Crowds that stop short of the end of their bodies must not hold memory that others need.
TEST_F(IntakeBudgetTest, ClosesTheRequestThatHasStalledForLongestFirst)
{
  const auto first = Open("10.0.0.1");
  const auto second = Open("10.0.0.2");
  EXPECT_TRUE(budget_.Receive(first, kMegabyte));
  clock_.Advance(seconds(1));
  EXPECT_TRUE(budget_.Receive(second, kMegabyte));
  clock_.Advance(seconds(1));
  const auto third = Open("10.0.0.3");
  EXPECT_TRUE(budget_.Receive(third, 2 * kMegabyte + kMegabyte / 2));
  EXPECT_EQ(closed_, std::set<uint32_t>{ 0 });
  EXPECT_FALSE(budget_.Receive(first, 1)) << "it was told to close";
  EXPECT_EQ(budget_.Counters().closedForBytes_, 1U);
}

// One address must not push out the requests of all others.
TEST_F(IntakeBudgetTest, ClosesRequestsOfAnAddressBeyondItsShareFirst)
{
  const auto other = Open("10.0.0.1");
  EXPECT_TRUE(budget_.Receive(other, kMegabyte));
  clock_.Advance(seconds(5));
  const auto first = Open("10.0.0.2");
  const auto second = Open("10.0.0.2");
  EXPECT_TRUE(budget_.Receive(first, 2 * kMegabyte));
  EXPECT_TRUE(budget_.Receive(second, kMegabyte));
  EXPECT_EQ(closed_, std::set<uint32_t>{ 1 });
}

// A request that is being worked on must get its answer, and an idle connection is closed last.
TEST_F(IntakeBudgetTest, NeverClosesARequestInWork)
{
  const auto working = Open("10.0.0.1");
  EXPECT_TRUE(budget_.Receive(working, kMegabyte));
  EXPECT_TRUE(budget_.BeginWork(working, 3 * kMegabyte));
  const auto idle = Open("10.0.0.2");
  const auto next = Open("10.0.0.3");
  EXPECT_TRUE(budget_.Receive(next, kMegabyte / 2));
  EXPECT_FALSE(budget_.BeginWork(next, kMegabyte));
  EXPECT_EQ(closed_.count(0), 0U);
  EXPECT_EQ(budget_.Counters().refused_, 1U);
  budget_.EndRequest(working);
  budget_.EndRequest(next);
  EXPECT_TRUE(budget_.Receive(next, kMegabyte));
  budget_.Close(idle);
}

// The connection that asks for more than there is must be closed itself if it is the worst.
TEST_F(IntakeBudgetTest, RefusesWhatDoesNotFitAtAll)
{
  const auto only = Open("10.0.0.1");
  EXPECT_FALSE(budget_.Receive(only, 5 * kMegabyte));
  EXPECT_TRUE(closed_.empty());
  EXPECT_EQ(budget_.Counters().closedForBytes_, 1U) << "operators must see it";
}

// Stalled connections must not use up the descriptors.
TEST_F(IntakeBudgetTest, ClosesAStalledConnectionIfThereAreTooMany)
{
  for (int index = 0; index < 4; ++index) {
    Open("10.0.0.1");
    clock_.Advance(seconds(1));
  }
  EXPECT_TRUE(closed_.empty());
  Open("10.0.0.2");
  EXPECT_EQ(closed_, std::set<uint32_t>{ 0 });
}

// Clients that send or read a byte from time to time must not hold connections for ever.
TEST_F(IntakeBudgetTest, ClosesClientsBelowTheLeastRate)
{
  const auto body = Open("10.0.0.1");
  const auto response = Open("10.0.0.2");
  EXPECT_TRUE(budget_.Receive(body, 0));
  for (int second = 0; second < 9; ++second) {
    clock_.Advance(seconds(1));
    EXPECT_TRUE(budget_.Receive(body, 1));
  }
  budget_.BeginResponse(response, 5000);
  Open("10.0.0.3");
  EXPECT_TRUE(closed_.empty());
  clock_.Advance(milliseconds(1100));
  Open("10.0.0.3");
  EXPECT_EQ(closed_, std::set<uint32_t>{ 0 });
  clock_.Advance(seconds(14));
  budget_.Close(body);
  Open("10.0.0.4");
  EXPECT_EQ(closed_, (std::set<uint32_t>{ 0, 1 }));
}

// A request that was told to close has lost its connection, and its bytes are given away already.
TEST_F(IntakeBudgetTest, RefusesWorkOnAConnectionThatIsClosing)
{
  const auto first = Open("10.0.0.1");
  EXPECT_TRUE(budget_.Receive(first, 2 * kMegabyte));
  clock_.Advance(seconds(1));
  const auto second = Open("10.0.0.2");
  EXPECT_TRUE(budget_.Receive(second, 3 * kMegabyte));
  ASSERT_EQ(closed_, std::set<uint32_t>{ 0 });
  EXPECT_FALSE(budget_.BeginWork(first, 2 * kMegabyte));
}

// A request that does not fit beside those in work must not cost others their connections.
TEST_F(IntakeBudgetTest, ClosesNobodyForARequestThatCannotFit)
{
  const auto working = Open("10.0.0.1");
  EXPECT_TRUE(budget_.BeginWork(working, 3 * kMegabyte));
  const auto unfinished = Open("10.0.0.2");
  EXPECT_TRUE(budget_.Receive(unfinished, kMegabyte / 4));
  const auto next = Open("10.0.0.3");
  EXPECT_FALSE(budget_.BeginWork(next, 2 * kMegabyte));
  EXPECT_TRUE(closed_.empty());
  EXPECT_TRUE(budget_.Receive(unfinished, 1));
}

// Each idle connection keeps the buffer of its last head: 900 of them took 80 MB of a process.
TEST_F(IntakeBudgetTest, CountsTheBufferOfAnIdleConnection)
{
  const auto idle = Open("10.0.0.1");
  EXPECT_GE(budget_.Counters().bytes_, Limits().maxHeadBytes_ + (16U << 10U));
  EXPECT_TRUE(budget_.Receive(idle, 1000));
  budget_.EndRequest(idle);
  EXPECT_GE(budget_.Counters().bytes_, Limits().maxHeadBytes_ + (16U << 10U));
}

// All bytes must be given back, or the budget would shrink with each client.
TEST_F(IntakeBudgetTest, GivesBackWhatAConnectionHeld)
{
  for (int index = 0; index < 100; ++index) {
    const auto id = Open("10.0.0.1");
    EXPECT_TRUE(budget_.Receive(id, 2 * kMegabyte));
    EXPECT_TRUE(budget_.BeginWork(id, 3 * kMegabyte));
    budget_.BeginResponse(id, 100);
    budget_.EndRequest(id);
    budget_.Close(id);
  }
  EXPECT_EQ(budget_.Counters().bytes_, 0U);
  EXPECT_EQ(budget_.Counters().connections_, 0U);
}

}
}
