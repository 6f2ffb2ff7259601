#include "job_world.h"

#include <gtest/gtest.h>

#include <tuple>

namespace sardinespoke {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr size_t kHosts = 4;

/// Two roll-outs of the same hosts. Parameters: the milliseconds from the first one to the end of
/// the leader, and from its successor to the second one.
class OverlappingRolloutsTest : public testing::TestWithParam<std::tuple<int, int>>
{
protected:
  OverlappingRolloutsTest()
  {
    world_.AddPool("births", kHosts, Resources{ 8000, 32768, 0 });
    world_.Configure();
    world_.Run(seconds(1));
  }

  RolloutRequest Request(int64_t aNumber, uint32_t aMaxDown)
  {
    RolloutRequest request;
    request.number_ = aNumber;
    request.maxDown_ = aMaxDown;
    request.duration_ = seconds(30);
    for (size_t index = 0; index < kHosts; ++index) {
      request.hosts_.push_back(world_.Fleet().HostOf("births", index));
    }
    return request;
  }

  bool IsDone(int64_t aNumber)
  {
    const auto status = world_.Store().Records().find("rollout-status/" + std::to_string(aNumber));
    return status != world_.Store().Records().end() && status->second.value_ == "done";
  }

  JobWorld world_;
};

// MIXED: a new leader found a host of its predecessor's roll-out down for another one and counted
// it as maintained for both.
TEST_P(OverlappingRolloutsTest, HostDownForOneRolloutIsNotMaintainedForAnother)
{
  world_.RequestRollout(Request(1, 1));
  world_.Run(milliseconds(std::get<0>(GetParam())));
  world_.Stop(*world_.Leader());
  ASSERT_TRUE(world_.RunUntil([this] { return world_.Leader().has_value(); }, seconds(10)));
  world_.Run(milliseconds(std::get<1>(GetParam())));
  world_.RequestRollout(Request(2, kHosts));
  ASSERT_TRUE(world_.RunUntil([this] { return IsDone(1) && IsDone(2); }, seconds(60)));
  EXPECT_EQ(world_.Fleet().Maintained(), 2 * kHosts);
  EXPECT_FALSE(world_.Fleet().Violations().Any()) << world_.Fleet().Violations().first_;
}

INSTANTIATE_TEST_SUITE_P(Delays,
                         OverlappingRolloutsTest,
                         testing::Combine(testing::Range(100, 1500, 200),
                                          testing::Range(0, 2000, 200)));

}
}
