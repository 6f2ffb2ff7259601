#include "sardinespoke/manual_clock.h"
#include "sardinespoke/wait_order.h"

#include <gtest/gtest.h>

#include <cmath>
#include <random>

namespace sardinespoke {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class WaitOrderTest : public testing::Test
{
protected:
  uint32_t Add(const std::string& aId, uint32_t aTasks, milliseconds aEstimate, uint32_t aPriority)
  {
    JobSpec spec;
    spec.id_ = aId;
    spec.queue_ = "births";
    StepSpec step;
    step.taskCount_ = aTasks;
    step.cpuMilli_ = 1000;
    step.estimate_ = aEstimate;
    spec.steps_.push_back(step);
    QueuePolicy policy;
    policy.priority_ = aPriority;
    policy.stretch_ = 1.6;
    policy.latencyTarget_ = milliseconds(600);
    const uint32_t job = jobs_.Add(spec, policy, clock_.Now(), milliseconds(0));
    jobs_.OpenDueOccurrences(jobs_.At(job), milliseconds(0));
    return job;
  }

  std::vector<uint32_t> Sorted(std::vector<uint32_t> aJobs)
  {
    order_.Sort(jobs_, clock_.Now(), aJobs);
    return aJobs;
  }

  ManualClock clock_;
  JobTable jobs_;
  DurationModel durations_;
  WaitOrder order_{ durations_ };
};

// Guards against a large job that makes many small ones of a burst late.
TEST_F(WaitOrderTest, LeastWorkLeftComesFirst)
{
  const uint32_t large = Add("large", 24, seconds(1), 0);
  const uint32_t small = Add("small", 2, seconds(1), 0);
  EXPECT_EQ(Sorted({ large, small }), (std::vector<uint32_t>{ small, large }));
}

// Guards against capacity for jobs that are late anyway while others become late.
TEST_F(WaitOrderTest, JobsThatCannotBeInTimeComeLast)
{
  const uint32_t old = Add("old", 1, seconds(1), 0);
  clock_.Advance(seconds(3)); // The objective is 1.6 x 1 s + 0.6 s.
  const uint32_t fresh = Add("fresh", 8, seconds(1), 0);
  EXPECT_TRUE(order_.IsLate(jobs_.At(old), clock_.Now()));
  EXPECT_EQ(Sorted({ old, fresh }), (std::vector<uint32_t>{ fresh, old }));
}

// Guards against less urgent work ahead of more urgent work.
TEST_F(WaitOrderTest, PriorityComesBeforeSize)
{
  const uint32_t small = Add("small", 1, seconds(1), 1);
  const uint32_t urgent = Add("urgent", 30, seconds(1), 0);
  EXPECT_EQ(Sorted({ small, urgent }), (std::vector<uint32_t>{ urgent, small }));
}

// Guards against a queue whose declared durations are far off.
TEST_F(WaitOrderTest, DurationsAreLearnedByQueue)
{
  const uint32_t job = Add("job", 1, seconds(1), 0);
  for (int sample = 0; sample < 50; ++sample) {
    durations_.Observe("births", seconds(1), seconds(2), 1.0);
  }
  EXPECT_NEAR(static_cast<double>(durations_.ChainLeft(jobs_.At(job)).count()), 2000.0, 1.0);
}

// Guards against one stuck task that moves the mean of a queue.
TEST_F(WaitOrderTest, OneSampleIsBounded)
{
  const uint32_t job = Add("job", 1, seconds(1), 0);
  for (int sample = 0; sample < 99; ++sample) {
    durations_.Observe("births", seconds(1), seconds(1), 1.0);
  }
  durations_.Observe("births", seconds(1), seconds(1000), 1.0);
  EXPECT_LT(durations_.ChainLeft(jobs_.At(job)), milliseconds(1100));
}

/// Steps of one queue whose declared durations are off by a factor.
class DeclaredDurations
{
public:
  /// @param aError Spread of the declared around the real duration, as a logarithm.
  explicit DeclaredDurations(double aError)
    : error_(0.0, aError)
  {
  }

  /// @returns Declared and real duration.
  std::pair<milliseconds, milliseconds> Next()
  {
    const double real = 1000.0 * real_(random_);
    const double declared = std::max(real * error_(random_), 1.0);
    return { milliseconds(static_cast<int64_t>(declared)),
             milliseconds(static_cast<int64_t>(real)) };
  }

private:
  std::mt19937_64 random_{ 1 };
  std::lognormal_distribution<double> real_{ 0.0, 0.5 };
  std::lognormal_distribution<double> error_;
};

class DurationErrorTest
  : public WaitOrderTest
  , public testing::WithParamInterface<double>
{};

// Guards against an order of waiting that follows declarations which are off by more than the real
// durations differ, and against one that ignores declarations which are right.
TEST_P(DurationErrorTest, IsNoWorseThanDeclarationsOrTheMean)
{
  constexpr int kLearned = 200;
  constexpr int kJudged = 200;
  DeclaredDurations durations(GetParam());
  double ratio = 0.0;
  double mean = 0.0;
  for (int step = 0; step < kLearned; ++step) {
    const auto [declared, real] = durations.Next();
    durations_.Observe("births", declared, real, 1.0);
    ratio += static_cast<double>(real.count()) / static_cast<double>(declared.count()) / kLearned;
    mean += static_cast<double>(real.count()) / kLearned;
  }
  double byModel = 0.0;
  double byDeclaration = 0.0;
  double byMean = 0.0;
  for (int step = 0; step < kJudged; ++step) {
    const auto [declared, real] = durations.Next();
    const uint32_t job = Add("job" + std::to_string(step), 1, declared, 0);
    const auto truth = static_cast<double>(real.count());
    const auto expected = static_cast<double>(durations_.ChainLeft(jobs_.At(job)).count());
    byModel += std::abs(std::log(expected / truth));
    byDeclaration += std::abs(std::log(static_cast<double>(declared.count()) * ratio / truth));
    byMean += std::abs(std::log(mean / truth));
  }
  constexpr double kNoise = 1.05;
  EXPECT_LE(byModel, byDeclaration * kNoise);
  EXPECT_LE(byModel, byMean * kNoise);
}

INSTANTIATE_TEST_SUITE_P(Errors, DurationErrorTest, testing::Values(0.05, 0.3, 0.5, 0.9, 1.5));

}
}
