#include "raw_server.h"

#include "sardinespoke/http_multi.h"

#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <ctime>
#include <sys/socket.h>
#include <unistd.h>

namespace sardinespoke {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Takes connections and requests and never answers.
class SilentServer
{
public:
  SilentServer()
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
  ~SilentServer() { close(listener_); }
  SilentServer(const SilentServer&) = delete;
  SilentServer& operator=(const SilentServer&) = delete;

  std::string Address() const { return "127.0.0.1:" + std::to_string(port_); }

private:
  int listener_;
  uint16_t port_ = 0;
};

milliseconds
ThreadTime()
{
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return std::chrono::duration_cast<milliseconds>(seconds(time.tv_sec) +
                                                  std::chrono::nanoseconds(time.tv_nsec));
}

class HttpMultiTest : public testing::Test
{
protected:
  HttpReply Ask(HttpCall aCall)
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

  /// @returns Processor time of many calls, one after the other.
  milliseconds TimeOfCalls(const std::string& aAuthority)
  {
    constexpr int kCalls = 1000;
    const milliseconds begin = ThreadTime();
    for (int index = 0; index < kCalls; ++index) {
      EXPECT_EQ(Ask(CallTo(aAuthority)).outcome_, HttpOutcome::Answered);
    }
    return ThreadTime() - begin;
  }

  HttpMulti http_;
};

// Guards against turns whose cost grows with the calls that wait: an owner has one waiting look at
// each of hundreds of backend servers while it sends thousands of orders a second.
TEST_F(HttpMultiTest, WaitingCallsDoNotSlowOthersDown)
{
  const SilentServer silent;
  const RawServer server([](const std::string&, size_t) { return RawReply{ RawResponse("{}") }; });
  const milliseconds alone = TimeOfCalls(server.Address());
  constexpr uint32_t kWaiting = 400;
  for (uint32_t index = 0; index < kWaiting; ++index) {
    HttpCall call = CallTo(silent.Address());
    call.maxConnections_ = kWaiting;
    call.timeout_ = seconds(60);
    http_.Send(std::move(call), [](const HttpReply&) {});
  }
  http_.Run(milliseconds(0));
  EXPECT_LT(TimeOfCalls(server.Address()), alone * 2 + milliseconds(20));
}

// Guards against a call without an answer that is never given up.
TEST_F(HttpMultiTest, GivesUpAfterTheTimeout)
{
  const SilentServer silent;
  HttpCall call = CallTo(silent.Address());
  call.timeout_ = milliseconds(100);
  EXPECT_EQ(Ask(std::move(call)).outcome_, HttpOutcome::Unknown);
}

// Guards against a second sending when a kept connection breaks before the answer.
TEST_F(HttpMultiTest, SendsOnceWhenAKeptConnectionBreaks)
{
  const RawServer server([](const std::string&, size_t aIndex) {
    return aIndex == 0 ? RawReply{ RawResponse("{}") } : RawReply{ "", true };
  });
  EXPECT_EQ(Ask(CallTo(server.Address())).outcome_, HttpOutcome::Answered);
  EXPECT_EQ(Ask(CallTo(server.Address())).outcome_, HttpOutcome::Unknown);
  EXPECT_EQ(server.Requests().size(), 2U);
}

// Guards against a request that counts as sent though nobody listens.
TEST_F(HttpMultiTest, TellsWhatWasNotSent)
{
  std::string address;
  {
    const SilentServer gone;
    address = gone.Address();
  }
  EXPECT_EQ(Ask(CallTo(address)).outcome_, HttpOutcome::NotSent);
}

}
}
