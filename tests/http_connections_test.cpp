#include "many_servers.h"

#include "sardinespoke/http_multi.h"

#include <gtest/gtest.h>

#include <ctime>
#include <sys/resource.h>
#include <thread>

namespace sardinespoke {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

microseconds
ThreadCpuTime()
{
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return std::chrono::duration_cast<microseconds>(std::chrono::seconds(time.tv_sec) +
                                                  std::chrono::nanoseconds(time.tv_nsec));
}

/// A client with kept connections to many servers, like a leader with a large fleet.
class HttpConnectionsTest : public testing::Test
{
protected:
  static void SetUpTestSuite()
  {
    rlimit limit{};
    ASSERT_EQ(getrlimit(RLIMIT_NOFILE, &limit), 0);
    limit.rlim_cur = limit.rlim_max;
    ASSERT_EQ(setrlimit(RLIMIT_NOFILE, &limit), 0);
  }

  void Connect(uint32_t aServers)
  {
    for (uint32_t call = 0; call < aServers * kConnections; ++call) {
      Send(call / kConnections);
    }
    WaitForAnswers();
  }

  void Send(uint32_t aServer)
  {
    HttpCall call;
    call.method_ = "POST";
    call.authority_ = servers_.Address(aServer);
    call.target_ = "/";
    call.timeout_ = milliseconds(20000);
    call.maxConnections_ = kConnections;
    ++waiting_;
    http_.Send(std::move(call), [this](const HttpReply& aReply) {
      --waiting_;
      EXPECT_EQ(aReply.outcome_, HttpOutcome::Answered);
    });
  }

  void WaitForAnswers()
  {
    while (waiting_ > 0) {
      http_.Run(milliseconds(50));
    }
  }

  /// @returns Processor time of calls to each of the first servers in turn.
  microseconds TimeOfCalls(uint32_t aServers)
  {
    constexpr uint32_t kCalls = 1000;
    const microseconds begin = ThreadCpuTime();
    for (uint32_t call = 0; call < kCalls; ++call) {
      Send(call % aServers);
      WaitForAnswers();
    }
    return ThreadCpuTime() - begin;
  }

  static constexpr uint32_t kConnections = 3;
  ManyServers servers_;
  HttpMulti http_;
  uint32_t waiting_ = 0;
};

// When hundreds of hosts move to another pool, their connections close at once. Fault: libcurl
// looked for closed connections again from the start after each one that it found, and the leader
// stood still for up to 0.8 s.
TEST_F(HttpConnectionsTest, ClosedConnectionsDoNotStallCalls)
{
  constexpr uint32_t kServers = 540;
  // The least share of a processor that an entry host has, and the pause that a leader notices.
  constexpr milliseconds kLimit = milliseconds(300) * 12 / 100;
  Connect(kServers);
  servers_.CloseBelow(kServers * 2 / 3);
  // libcurl looks for closed connections once a second.
  std::this_thread::sleep_for(milliseconds(1100));
  const microseconds begin = ThreadCpuTime();
  Send(kServers - 1);
  WaitForAnswers();
  EXPECT_LT(ThreadCpuTime() - begin, kLimit);
}

// Fault: with 3,600 kept connections, a call took several times as long as with 30, so that the
// processor of a leader with a large fleet did not suffice.
TEST_F(HttpConnectionsTest, KeptConnectionsDoNotSlowCallsDown)
{
  constexpr uint32_t kFew = 10;
  Connect(kFew);
  const microseconds few = TimeOfCalls(kFew);
  Connect(1200);
  EXPECT_LT(TimeOfCalls(kFew), few * 2);
}

}
}
