#include "sardinespoke/overload_policy.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

namespace sardinespoke {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kNow{ seconds(100) };

/// A short job of a pool with 100 cores.
SubmissionLoad
ShortJob()
{
  SubmissionLoad load;
  load.cores_ = 100.0;
  load.work_ = 10.0;
  load.criticalPath_ = milliseconds(1000);
  load.objective_ = milliseconds(2200);
  return load;
}

// A caller must not be turned away while its job can be done in time, whatever waits behind it.
TEST(OverloadPolicy, AdmitsWhatCanBeDoneInTime)
{
  SubmissionLoad load = ShortJob();
  load.lateWorkAhead_ = 1e6;
  EXPECT_FALSE(OverloadPolicy::IsHopeless(load));
  load.workAhead_ = 200.0;
  EXPECT_FALSE(OverloadPolicy::IsHopeless(load));
}

// A job that is late but not worthless must be taken: it still earns its caller something.
TEST(OverloadPolicy, AdmitsWhatIsLateOnly)
{
  SubmissionLoad load = ShortJob();
  load.workAhead_ = 300.0;
  load.lateWorkAhead_ = 700.0;
  EXPECT_FALSE(OverloadPolicy::IsHopeless(load));
  load.lateWorkAhead_ = 900.0;
  EXPECT_TRUE(OverloadPolicy::IsHopeless(load));
}

// Load of a burst: a large job would wait behind the smaller ones that go on arriving, become late
// and then wait behind all late ones.
TEST(OverloadPolicy, RefusesWhatArrivalsPushBack)
{
  SubmissionLoad load = ShortJob();
  load.arrivingAhead_ = 400.0;
  EXPECT_FALSE(OverloadPolicy::IsHopeless(load)) << "nothing waits yet";
  load.lateWorkAhead_ = 300.0;
  EXPECT_TRUE(OverloadPolicy::IsHopeless(load));
  load.arrivingAhead_ = 20.0;
  EXPECT_FALSE(OverloadPolicy::IsHopeless(load));
}

// While the leader has no time to start more, a pool works more slowly than its servers could.
TEST(OverloadPolicy, CountsWhatTheLeaderCanStart)
{
  SubmissionLoad load = ShortJob();
  load.workAhead_ = 150.0;
  load.lateWorkAhead_ = 200.0;
  EXPECT_FALSE(OverloadPolicy::IsHopeless(load));
  load.startedPerSecond_ = 50.0;
  EXPECT_TRUE(OverloadPolicy::IsHopeless(load));
  load.startedPerSecond_ = 0.0;
  load.workAhead_ = 10.0;
  load.lateWorkAhead_ = 0.0;
  EXPECT_FALSE(OverloadPolicy::IsHopeless(load)) << "nothing was started as nothing waited";
}

// A pool that lost contact with its servers must not turn everybody away.
TEST(OverloadPolicy, AdmitsIfThePoolIsNotKnown)
{
  SubmissionLoad load = ShortJob();
  load.workAhead_ = 1e6;
  load.cores_ = 0.0;
  EXPECT_FALSE(OverloadPolicy::IsHopeless(load));
}

// Those turned away in a burst must not return in one wave, and the first must return first.
TEST(OverloadPolicy, TheRefusedReturnInTheirOrderAsFastAsThePoolWorks)
{
  OverloadPolicy policy;
  SubmissionLoad load = ShortJob();
  load.workAhead_ = 1400.0;
  std::vector<milliseconds> returns;
  returns.reserve(100);
  for (int job = 0; job < 100; ++job) {
    returns.push_back(policy.RetryAfter(load, "p", TenantUsage::kNoTenant, 1.0, kNow));
  }
  EXPECT_GE(returns.front(), seconds(1));
  EXPECT_TRUE(std::is_sorted(returns.begin(), returns.end()));
  // 10 core-seconds each on 100 cores: 10 jobs a second.
  EXPECT_EQ(returns[50] - returns[0], seconds(5));
}

// A tenant with many refusals must not push back the return of another one.
TEST(OverloadPolicy, EachTenantReturnsAtItsOwnRate)
{
  OverloadPolicy policy;
  SubmissionLoad load = ShortJob();
  load.workAhead_ = 1400.0;
  for (int job = 0; job < 100; ++job) {
    policy.RetryAfter(load, "p", 1, 0.5, kNow);
  }
  const milliseconds other = policy.RetryAfter(load, "p", 2, 0.5, kNow);
  EXPECT_EQ(other, policy.RetryAfter(load, "q", 1, 0.5, kNow));
  EXPECT_LT(other, policy.RetryAfter(load, "p", 1, 0.5, kNow));
}

// A refusal must name a time within reach, however long the backlog is.
TEST(OverloadPolicy, BoundsTheTimeOfReturn)
{
  OverloadPolicy policy;
  SubmissionLoad load = ShortJob();
  load.workAhead_ = 1e9;
  for (int job = 0; job < 1000; ++job) {
    const milliseconds wait = policy.RetryAfter(load, "p", 1, 0.1, kNow);
    ASSERT_GE(wait, seconds(1));
    ASSERT_LE(wait, seconds(30));
  }
}

}
}
