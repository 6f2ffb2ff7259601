#include "sardinespoke/manual_clock.h"
#include "sardinespoke/wait_order.h"

#include <gtest/gtest.h>

#include <algorithm>
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
    std::sort(aJobs.begin(), aJobs.end(), [this](uint32_t aLeft, uint32_t aRight) {
      return order_.RankOf(jobs_, aLeft, clock_.Now()) < order_.RankOf(jobs_, aRight, clock_.Now());
    });
    return aJobs;
  }

  ManualClock clock_;
  JobTable jobs_;
  DurationModel durations_;
  WaitOrder order_{ durations_ };
};

// A large job must not make many small jobs of a burst late.
TEST_F(WaitOrderTest, LeastRemainingWorkComesFirst)
{
  const uint32_t large = Add("large", 24, seconds(1), 0);
  const uint32_t small = Add("small", 2, seconds(1), 0);
  EXPECT_EQ(Sorted({ large, small }), (std::vector<uint32_t>{ small, large }));
}

// Jobs that are late anyway must not take capacity from jobs that can still meet their objective.
TEST_F(WaitOrderTest, LateJobsComeLast)
{
  const uint32_t old = Add("old", 1, seconds(1), 0);
  clock_.Advance(seconds(3)); // The objective is 1.6 x 1 s + 0.6 s.
  const uint32_t fresh = Add("fresh", 8, seconds(1), 0);
  EXPECT_TRUE(order_.IsLate(jobs_, old, clock_.Now()));
  EXPECT_EQ(Sorted({ old, fresh }), (std::vector<uint32_t>{ fresh, old }));
}

// Jobs of lower priority must not come before jobs of higher priority.
TEST_F(WaitOrderTest, PriorityComesBeforeSize)
{
  const uint32_t small = Add("small", 1, seconds(1), 1);
  const uint32_t urgent = Add("urgent", 30, seconds(1), 0);
  EXPECT_EQ(Sorted({ small, urgent }), (std::vector<uint32_t>{ urgent, small }));
}

// Predictions must follow measured durations if the declared ones are wrong.
TEST_F(WaitOrderTest, DurationsAreLearnedByQueue)
{
  const uint32_t job = Add("job", 1, seconds(1), 0);
  for (int sample = 0; sample < 50; ++sample) {
    durations_.Observe("births", seconds(1), seconds(2), 1.0);
  }
  EXPECT_NEAR(
    static_cast<double>(durations_.RemainingCriticalPath(jobs_.At(job)).count()), 2000.0, 1.0);
}

// A single stuck task must not shift the mean of its queue much.
TEST_F(WaitOrderTest, OutliersAreClamped)
{
  const uint32_t job = Add("job", 1, seconds(1), 0);
  for (int sample = 0; sample < 99; ++sample) {
    durations_.Observe("births", seconds(1), seconds(1), 1.0);
  }
  durations_.Observe("births", seconds(1), seconds(1000), 1.0);
  EXPECT_LT(durations_.RemainingCriticalPath(jobs_.At(job)), milliseconds(1100));
}

/// Generates steps of a queue with wrong declared durations.
class DurationGenerator
{
public:
  /// @param aError Log standard deviation of declared to real durations.
  explicit DurationGenerator(double aError)
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

// Predictions must not follow declarations whose error exceeds the variation of the real durations,
// and must not ignore accurate declarations.
TEST_P(DurationErrorTest, IsNoWorseThanDeclarationsOrTheMean)
{
  constexpr int kTrainingSteps = 200;
  constexpr int kTestSteps = 200;
  DurationGenerator durations(GetParam());
  double ratio = 0.0;
  double mean = 0.0;
  for (int step = 0; step < kTrainingSteps; ++step) {
    const auto [declared, real] = durations.Next();
    durations_.Observe("births", declared, real, 1.0);
    ratio +=
      static_cast<double>(real.count()) / static_cast<double>(declared.count()) / kTrainingSteps;
    mean += static_cast<double>(real.count()) / kTrainingSteps;
  }
  double modelError = 0.0;
  double declarationError = 0.0;
  double meanError = 0.0;
  for (int step = 0; step < kTestSteps; ++step) {
    const auto [declared, real] = durations.Next();
    const uint32_t job = Add("job" + std::to_string(step), 1, declared, 0);
    const auto measured = static_cast<double>(real.count());
    const auto expected =
      static_cast<double>(durations_.RemainingCriticalPath(jobs_.At(job)).count());
    modelError += std::abs(std::log(expected / measured));
    declarationError +=
      std::abs(std::log(static_cast<double>(declared.count()) * ratio / measured));
    meanError += std::abs(std::log(mean / measured));
  }
  constexpr double kTolerance = 1.05;
  EXPECT_LE(modelError, declarationError * kTolerance);
  EXPECT_LE(modelError, meanError * kTolerance);
}

INSTANTIATE_TEST_SUITE_P(Errors, DurationErrorTest, testing::Values(0.05, 0.3, 0.5, 0.9, 1.5));

// The order must follow the progress of a job at once, although estimates are kept for a while.
TEST_F(WaitOrderTest, FinishedTasksCountAtOnce)
{
  const uint32_t large = Add("large", 4, seconds(1), 0);
  const uint32_t small = Add("small", 2, seconds(1), 0);
  clock_.Advance(milliseconds(1));
  EXPECT_EQ(Sorted({ large, small }), (std::vector<uint32_t>{ small, large }));
  for (uint32_t index = 0; index < 3; ++index) {
    jobs_.Finish(TaskRef{ large, 0, 0, index }, clock_.Now());
  }
  EXPECT_EQ(Sorted({ large, small }), (std::vector<uint32_t>{ large, small }));
}

}
}
