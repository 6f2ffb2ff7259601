#include "job_steps.h"
#include "job_world.h"

#include <gtest/gtest.h>

namespace sardinespoke {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Fault = SimulatedFleet::HostCommandFault;

/// Commands to host control whose outcome is unknown when the next one is refused.
class UnknownHostCommandTest : public testing::Test
{
protected:
  UnknownHostCommandTest()
  {
    world_.AddPool("births", 4, kHost);
    world_.Configure();
    world_.Run(seconds(1));
  }

  void Maintain(size_t aHosts)
  {
    RolloutRequest request;
    request.number_ = 1;
    request.maxDown_ = 1;
    request.duration_ = seconds(20);
    for (size_t index = 0; index < aHosts; ++index) {
      request.hosts_.push_back(world_.Fleet().HostOf("births", index));
    }
    world_.RequestRollout(request);
    EXPECT_TRUE(world_.RunUntil([this, aHosts] { return world_.Fleet().Maintained() == aHosts; },
                                seconds(20)));
    EXPECT_FALSE(world_.Fleet().Violations().Any()) << world_.Fleet().Violations().first_;
  }

  JobWorld world_;
};

// LIMIT: a maintenance command took effect, its response was lost and its repeat was refused; the
// host counted as up, and the next one was taken down beside it.
TEST_F(UnknownHostCommandTest, RefusedRepeatDoesNotUndoTheCommand)
{
  world_.Fleet().FailHostCommands({ Fault::ResponseLost, Fault::Refused });
  Maintain(3);
}

// A command that never arrived and whose repeat was refused must be sent again.
TEST_F(UnknownHostCommandTest, LostCommandsAreRepeated)
{
  world_.Fleet().FailHostCommands({ Fault::Lost, Fault::Refused });
  Maintain(2);
}

// A command that was refused each time must be sent again once the host list shows its host up.
TEST_F(UnknownHostCommandTest, RefusedCommandsAreRepeated)
{
  world_.Fleet().FailHostCommands({ Fault::Refused, Fault::Refused });
  Maintain(2);
}

}
}
