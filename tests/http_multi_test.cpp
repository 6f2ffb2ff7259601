#include "raw_server.h"

#include "sardinespoke/http_multi.h"

#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <atomic>
#include <ctime>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace sardinespoke {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Accepts connections and requests and never responds.
class UnresponsiveServer
{
public:
  UnresponsiveServer()
    : listener_(socket(AF_INET, SOCK_STREAM, 0))
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    auto* plain = reinterpret_cast<sockaddr*>(&address); // NOLINT
    EXPECT_EQ(bind(listener_, plain, size), 0);
    EXPECT_EQ(listen(listener_, 1024), 0);
    EXPECT_EQ(getsockname(listener_, plain, &size), 0);
    port_ = ntohs(address.sin_port);
  }
  ~UnresponsiveServer() { close(listener_); }
  UnresponsiveServer(const UnresponsiveServer&) = delete;
  UnresponsiveServer& operator=(const UnresponsiveServer&) = delete;

  std::string Address() const { return "127.0.0.1:" + std::to_string(port_); }

private:
  int listener_;
  uint16_t port_ = 0;
};

milliseconds
ThreadCpuTime()
{
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return std::chrono::duration_cast<milliseconds>(seconds(time.tv_sec) +
                                                  std::chrono::nanoseconds(time.tv_nsec));
}

class HttpMultiTest : public testing::Test
{
protected:
  HttpReply SendRequest(HttpCall aCall)
  {
    HttpReply reply;
    bool answered = false;
    http_.Send(std::move(aCall), [&](const HttpReply& aReply) {
      reply = aReply;
      answered = true;
    });
    while (!answered) {
      http_.Run(milliseconds(50));
    }
    return reply;
  }

  static HttpCall CallTo(const std::string& aAuthority)
  {
    HttpCall call;
    call.method_ = "POST";
    call.authority_ = aAuthority;
    call.target_ = "/";
    call.body_ = "{}";
    call.timeout_ = milliseconds(5000);
    return call;
  }

  /// @returns CPU time of many sequential calls.
  milliseconds CpuTimeOfCalls(const std::string& aAuthority)
  {
    constexpr int kCalls = 1000;
    const milliseconds begin = ThreadCpuTime();
    for (int index = 0; index < kCalls; ++index) {
      EXPECT_EQ(SendRequest(CallTo(aAuthority)).outcome_, HttpOutcome::Answered);
    }
    return ThreadCpuTime() - begin;
  }

  HttpMulti http_;
};

// The cost of Run() must not grow with the number of pending calls: a leader keeps a long poll open
// at each of hundreds of backend servers while it sends thousands of commands per second.
TEST_F(HttpMultiTest, WaitingCallsDoNotSlowOthersDown)
{
  const UnresponsiveServer silent;
  const RawServer server([](const std::string&, size_t) { return RawReply{ RawResponse("{}") }; });
  const milliseconds alone = CpuTimeOfCalls(server.Address());
  constexpr uint32_t kWaiting = 400;
  for (uint32_t index = 0; index < kWaiting; ++index) {
    HttpCall call = CallTo(silent.Address());
    call.maxConnections_ = kWaiting;
    call.timeout_ = seconds(60);
    http_.Send(std::move(call), [](const HttpReply&) {});
  }
  http_.Run(milliseconds(0));
  EXPECT_LT(CpuTimeOfCalls(server.Address()), alone * 2 + milliseconds(20));
}

// The response of an urgent call must not wait until those of hundreds of others are read. Fault:
// under load a transaction of the store took four rounds of other responses.
TEST_F(HttpMultiTest, UrgentResponsesAreReadBeforeOthers)
{
  constexpr uint32_t kOthers = 300;
  std::atomic<bool> othersHeld{ true };
  std::atomic<bool> urgentHeld{ true };
  const auto heldBy = [](const std::atomic<bool>& aHeld) {
    return [&aHeld](const std::string&, size_t) {
      RawReply reply{ RawResponse("{}") };
      reply.holdWhile_ = [&aHeld] { return aHeld.load(); };
      return reply;
    };
  };
  const RawServer others(heldBy(othersHeld));
  const RawServer store(heldBy(urgentHeld));
  uint32_t answered = 0;
  bool urgentAnswered = false;
  const auto sendAll = [this](const RawServer& aServer, size_t aSent) {
    while (aServer.Requests().size() < aSent) {
      http_.Run(milliseconds(10));
    }
  };
  for (uint32_t index = 0; index < kOthers; ++index) {
    HttpCall call = CallTo(others.Address());
    call.maxConnections_ = kOthers;
    call.timeout_ = seconds(60);
    http_.Send(std::move(call), [&](const HttpReply&) { ++answered; });
    sendAll(others, index + 1);
  }
  HttpCall urgent = CallTo(store.Address());
  urgent.urgent_ = true;
  http_.Send(std::move(urgent), [&](const HttpReply&) { urgentAnswered = true; });
  sendAll(store, 1);
  // libcurl also reads the response of a call when its time limit for connecting has passed.
  const auto begin = std::chrono::steady_clock::now();
  while (std::chrono::steady_clock::now() - begin < milliseconds(600)) {
    http_.Run(milliseconds(10));
  }
  othersHeld = false;
  std::this_thread::sleep_for(milliseconds(500));
  urgentHeld = false;
  std::this_thread::sleep_for(milliseconds(200));
  http_.Run(milliseconds(0));
  EXPECT_TRUE(urgentAnswered);
  EXPECT_LT(answered, kOthers);
  while (answered < kOthers) {
    http_.Run(milliseconds(10));
  }
}

// A call without a response must time out.
TEST_F(HttpMultiTest, TimesOutWithoutAResponse)
{
  const UnresponsiveServer silent;
  HttpCall call = CallTo(silent.Address());
  call.timeout_ = milliseconds(100);
  EXPECT_EQ(SendRequest(std::move(call)).outcome_, HttpOutcome::Unknown);
}

// A response that has arrived must be read even if the process runs late. TWICE: an overloaded
// leader timed out the lists of runs that backend servers had sent, and started their tasks again.
TEST_F(HttpMultiTest, ReadsAnArrivedResponseAfterItsTimeout)
{
  std::atomic<bool> held{ true };
  const RawServer server([&held](const std::string&, size_t) {
    RawReply reply{ RawResponse("{}") };
    reply.holdWhile_ = [&held] { return held.load(); };
    return reply;
  });
  constexpr uint32_t kCalls = 10;
  uint32_t ended = 0;
  uint32_t answered = 0;
  for (uint32_t index = 0; index < kCalls; ++index) {
    HttpCall call = CallTo(server.Address());
    call.maxConnections_ = kCalls;
    call.timeout_ = milliseconds(1000);
    http_.Send(std::move(call), [&](const HttpReply& aReply) {
      ++ended;
      answered += aReply.outcome_ == HttpOutcome::Answered ? 1 : 0;
    });
    while (server.Requests().size() <= index && ended == 0) {
      http_.Run(milliseconds(1));
    }
  }
  EXPECT_EQ(ended, 0U);
  held = false;
  std::this_thread::sleep_for(milliseconds(1500));
  while (ended < kCalls) {
    http_.Run(milliseconds(10));
  }
  EXPECT_EQ(answered, kCalls);
}

// A request must not be resent if a persistent connection breaks before the response.
TEST_F(HttpMultiTest, SendsOnceWhenAKeptConnectionBreaks)
{
  const RawServer server([](const std::string&, size_t aIndex) {
    return aIndex == 0 ? RawReply{ RawResponse("{}") } : RawReply{ "", true };
  });
  EXPECT_EQ(SendRequest(CallTo(server.Address())).outcome_, HttpOutcome::Answered);
  EXPECT_EQ(SendRequest(CallTo(server.Address())).outcome_, HttpOutcome::Unknown);
  EXPECT_EQ(server.Requests().size(), 2U);
}

// A request to a closed port must count as not sent.
TEST_F(HttpMultiTest, ReportsRequestsThatWereNotSent)
{
  std::string address;
  {
    const UnresponsiveServer gone;
    address = gone.Address();
  }
  EXPECT_EQ(SendRequest(CallTo(address)).outcome_, HttpOutcome::NotSent);
}

}
}
