#include "job_steps.h"
#include "job_world.h"

#include <gtest/gtest.h>

namespace sardinespoke {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A backend server that is busy and one that has been idle for long: what is known of its clock is
/// a lower bound.
class IdleClockTest : public testing::Test
{
protected:
  IdleClockTest()
  {
    world_.AddPool("births", 2, Resources{ 3000, 3000, 0 });
    world_.Configure();
    world_.Run(seconds(1));
    world_.Submit("births", JobId(1), Tasks(1, seconds(300)));
  }

  void StartGang()
  {
    StepSpec gang = Tasks(4);
    gang.gang_ = true;
    world_.Submit("births", JobId(2), { gang });
    world_.Run(milliseconds(100));
    size_t running = 0;
    for (uint32_t index = 0; index < 4; ++index) {
      running += world_.Fleet().RunsOf(TaskId{ JobId(2), 0, 0, index }.Text());
    }
    EXPECT_EQ(running, 4U);
  }

  JobWorld world_;
};

// GANG: the start of a task on a backend server that had been idle for more than 75 s carried a
// deadline that had passed there, so that a gang began in part.
TEST_F(IdleClockTest, GangStartsAsAWholeAfterALongIdleTime)
{
  world_.Run(seconds(100));
  StartGang();
}

// The same on a backend server that was missing in the registry meanwhile.
TEST_F(IdleClockTest, GangStartsAsAWholeOnceAnIdleServerIsRegisteredAgain)
{
  size_t idle = 0;
  while (world_.Fleet().RunsOn("births", idle) > 0) {
    ++idle;
  }
  ASSERT_LT(idle, 2U);
  world_.Fleet().RemoveEntry("births", idle);
  world_.Run(seconds(100));
  world_.Fleet().PublishEntry("births", idle);
  world_.Run(milliseconds(10));
  StartGang();
}

}
}
