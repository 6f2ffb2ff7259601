#include "gateway_fakes.h"
#include "raw_server.h"
#include "sardinespoke/curl_backend_link.h"
#include "sardinespoke/gateway.h"
#include "sardinespoke/retry_budget.h"
#include "sardinespoke/steady_clock.h"

#include <gtest/gtest.h>

#include <sys/socket.h>
#include <unistd.h>

#include <thread>

namespace sardinespoke {
namespace {

constexpr std::chrono::seconds kLimit{ 10 };

std::string
Request(const std::string& aLine, const std::string& aHeaders = "", const std::string& aBody = "")
{
  return aLine + " HTTP/1.1\r\nHost: x\r\n" + aHeaders +
         "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

bool
Has(const std::string& aText, const std::string& aPart)
{
  return aText.find(aPart) != std::string::npos;
}

/// Waits for a condition; the limit only ends a test that would hang.
template<typename Condition>
bool
WaitFor(Condition aCondition)
{
  const auto end = std::chrono::steady_clock::now() + kLimit;
  while (!aCondition()) {
    if (std::chrono::steady_clock::now() > end) {
      return false;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  return true;
}

class GatewayTest : public ::testing::Test
{
protected:
  GatewayTest()
  {
    settings_.listenAddress_ = "127.0.0.1:0";
    settings_.attemptPrefix_ = "e1.1";
    settings_.maxBodyBytes_ = 1000;
    settings_.hangupPoll_ = std::chrono::milliseconds(5);
    settings_.idleTimeout_ = std::chrono::seconds(1);
    settings_.healthy_ = [this] { return healthy_.load(); };
  }

  void Start(BackendLinkI& aBackends)
  {
    gateway_ = std::make_unique<Gateway>(
      settings_, clock_, dispatcher_, aBackends, claims_, budget_, events_);
    const bool started = leaf::try_handle_all(
      [&]() -> leaf::result<bool> {
        BOOST_LEAF_CHECK(gateway_->Init());
        return true;
      },
      [] { return false; });
    ASSERT_TRUE(started);
    address_ = "127.0.0.1:" + std::to_string(gateway_->Port());
  }

  std::string Call(const std::string& aBytes) { return RawCall(address_, aBytes); }

  GatewaySettings settings_;
  SteadyClock clock_;
  FakeDispatcher dispatcher_;
  FakeBackendLink backends_;
  FakeClaims claims_;
  RetryBudget budget_;
  NullEventLog events_;
  std::atomic<bool> healthy_{ true };
  std::string address_;
  std::unique_ptr<Gateway> gateway_;
};

// Guards against malformed requests that reach a backend server or get no clear refusal.
TEST_F(GatewayTest, RefusesMalformedRequestsAndNamesTheField)
{
  Start(backends_);
  const std::vector<std::pair<std::string, std::string>> cases{
    { Request("POST /v1/services/births/work"), "Sardinespoke-Request-Id" },
    { Request("POST /v1/services/births/work", "Sardinespoke-Request-Id: a b\r\n"),
      "Sardinespoke-Request-Id" },
    { Request("GET /v1/services/births/work", "Sardinespoke-Idempotent: yes\r\n"),
      "Sardinespoke-Idempotent" },
    { Request("GET /v1/services/births/work", "Sardinespoke-Deadline-Ms: 0\r\n"),
      "Sardinespoke-Deadline-Ms" },
    { Request("GET /v1/services/births/work", "Sardinespoke-Deadline-Ms: 5x\r\n"),
      "Sardinespoke-Deadline-Ms" },
    { Request("GET /v1/services/births/w",
              "Sardinespoke-Deadline-Ms: 5\r\nSardinespoke-Deadline-Ms: 6\r\n"),
      "Sardinespoke-Deadline-Ms" },
    { Request("GET /v1/services/b%20c/work"), "service" },
    { Request("GET /v1/services//work"), "service" },
    { Request("GET /v1/services/births/w", "X-A: a\x01z\r\n"), "X-A" },
    { Request("GET /v1/services/births/w", "Transfer-Encoding: chunked\r\n"), "Transfer-Encoding" },
    { Request("POST /v1/request-ids?count=1001"), "count" },
    { Request("GET /other"), "path" },
  };
  for (const auto& [bytes, field] : cases) {
    const std::string answer = Call(bytes);
    EXPECT_TRUE(Has(answer, "Sardinespoke-Outcome: not-run")) << bytes << answer;
    EXPECT_TRUE(Has(answer, "\"field\":\"" + field + "\"")) << bytes << answer;
  }
  EXPECT_TRUE(backends_.requests_.empty());
}

// Guards against requests that use up the memory of the entry host.
TEST_F(GatewayTest, LimitsBodyAndHeaders)
{
  Start(backends_);
  const std::string line = "PUT /v1/services/births/work";
  EXPECT_TRUE(Has(Call(Request(line, "", std::string(1000, 'x'))), " 200 "));
  EXPECT_TRUE(Has(Call(Request(line, "", std::string(1001, 'x'))), " 413 "));
  std::string chunked = line + " HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n3e9\r\n";
  chunked += std::string(1001, 'x') + "\r\n0\r\n\r\n";
  EXPECT_TRUE(Has(Call(chunked), " 413 "));
  EXPECT_TRUE(Has(Call(Request(line, "X-A: " + std::string(17000, 'x') + "\r\n")), " 431 "));
  std::string many;
  for (int i = 0; i < 70; ++i) {
    many += "X-" + std::to_string(i) + ": 1\r\n";
  }
  EXPECT_TRUE(Has(Call(Request(line, many)), " 431 "));
  EXPECT_EQ(backends_.requests_.size(), 1U);
}

// Guards against a caller's headers that pretend to be the gateway's or end at its connection, and
// against a path that is decoded on the way.
TEST_F(GatewayTest, ForwardsOnlyWhatBelongsToTheRequest)
{
  Start(backends_);
  const std::string answer = Call(Request("PUT /v1/services/births/a%2f%0d%0aX:1?q=%20",
                                          "Sardinespoke-Attempt: forged\r\nConnection: X-Hop\r\n"
                                          "X-Hop: 1\r\nX-A: 1\r\nX-A: 2\r\nTE: x\r\n",
                                          "body"));
  EXPECT_TRUE(Has(answer, "Sardinespoke-Outcome: ok")) << answer;
  ASSERT_EQ(backends_.requests_.size(), 1U);
  const BackendRequest& sent = backends_.requests_[0];
  EXPECT_EQ(sent.path_, "/a%2f%0d%0aX:1?q=%20");
  EXPECT_EQ(sent.body_, "body");
  EXPECT_EQ(sent.headers_,
            (HeaderList{ { "X-A", "1" },
                         { "X-A", "2" },
                         { "Sardinespoke-Attempt", "e1.1.1" },
                         { "Sardinespoke-Service", "births" } }));
}

// Guards against a whole answer that loses its status, headers, body or, for HEAD, its length.
TEST_F(GatewayTest, DeliversTheWholeAnswer)
{
  Start(backends_);
  backends_.steps_ = { FakeBackendLink::Answer(
    { 418, { { "X-B", "1" }, { "X-B", "2" } }, std::string("a\0b", 3) }) };
  const std::string answer = Call(Request("GET /v1/services/births/work"));
  EXPECT_TRUE(Has(answer, " 418 "));
  EXPECT_TRUE(Has(answer, "X-B: 1\r\nX-B: 2\r\n"));
  EXPECT_TRUE(Has(answer, std::string("\r\n\r\na\0b", 7)));
  backends_.steps_ = { FakeBackendLink::Answer({ 200, { { "Content-Length", "7" } }, "" }) };
  const int caller = RawConnect(address_);
  const std::string head = Request("HEAD /v1/services/births/work", "Connection: close\r\n");
  ASSERT_EQ(send(caller, head.data(), head.size(), 0), static_cast<ssize_t>(head.size()));
  std::string received(4096, '\0');
  received.resize(static_cast<size_t>(recv(caller, received.data(), received.size(), MSG_WAITALL)));
  close(caller);
  EXPECT_TRUE(Has(received, "Content-Length: 7\r\n")) << received;
  EXPECT_TRUE(received.ends_with("\r\n\r\n"));
}

// Guards against the idle timer closing the connection of a request that runs for longer.
TEST_F(GatewayTest, LongWorkOutlivesTheIdleTimeout)
{
  RawServer server([](const std::string&, size_t) {
    const auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(2100);
    return RawReply{ RawResponse("long"), false, [end] {
                      return std::chrono::steady_clock::now() < end;
                    } };
  });
  CurlBackendLink link({});
  dispatcher_.address_ = server.Address();
  Start(link);
  EXPECT_TRUE(Has(Call(Request("GET /v1/services/births/work")), "long"));
}

// Guards against a POST that runs twice, or is reported as not run, when the backend server closes
// a kept connection after acting.
TEST_F(GatewayTest, AnActedOnRequestIsUnknownAndRunsOnce)
{
  RawServer server([](const std::string&, size_t aIndex) {
    return aIndex == 0 ? RawReply{ RawResponse("first"), false } : RawReply{ "", true };
  });
  CurlBackendLink link({});
  dispatcher_.address_ = server.Address();
  Start(link);
  const std::string post =
    Request("POST /v1/services/births/charge", "Sardinespoke-Request-Id: e1.1.5\r\n", "x");
  EXPECT_TRUE(Has(Call(post), "Sardinespoke-Outcome: ok"));
  EXPECT_TRUE(Has(Call(post), "Sardinespoke-Outcome: unknown"));
  EXPECT_EQ(server.Requests().size(), 2U);
}

// Guards against "not run" for a request that ran before a fault of the entry host itself.
TEST_F(GatewayTest, AnInternalFaultIsUnknown)
{
  claims_.failsToFinish_ = true;
  Start(backends_);
  const std::string answer =
    Call(Request("POST /v1/services/births/charge", "Sardinespoke-Request-Id: e1.1.5\r\n", "x"));
  EXPECT_TRUE(Has(answer, " 500 ")) << answer;
  EXPECT_TRUE(Has(answer, "Sardinespoke-Outcome: unknown"));
}

// Guards against work that goes on for a caller that has closed its connection.
TEST_F(GatewayTest, NoticesACallerThatLeaves)
{
  std::atomic<bool> started{ false };
  backends_.steps_ = { [&](const BackendRequest& aRequest) -> leaf::result<BackendAnswer> {
    started = true;
    EXPECT_TRUE(WaitFor(aRequest.cancelled_));
    return leaf::new_error(BackendError{ BackendError::Code::Incomplete, "cut" });
  } };
  Start(backends_);
  const int caller = RawConnect(address_);
  const std::string bytes = Request("GET /v1/services/births/work");
  ASSERT_EQ(send(caller, bytes.data(), bytes.size(), 0), static_cast<ssize_t>(bytes.size()));
  EXPECT_TRUE(WaitFor([&] { return started.load(); }));
  close(caller);
  EXPECT_TRUE(gateway_->WaitIdle(kLimit));
  EXPECT_EQ(gateway_->Counters().callersLeft_, 1U);
  EXPECT_EQ(dispatcher_.results_, std::vector{ AttemptResult::Cancelled });
}

// Guards against a stop that cuts requests in flight or takes new ones.
TEST_F(GatewayTest, StopsInThreeSteps)
{
  std::atomic<bool> started{ false };
  std::atomic<bool> hold{ true };
  backends_.steps_ = { [&](const BackendRequest&) -> leaf::result<BackendAnswer> {
    started = true;
    EXPECT_TRUE(WaitFor([&] { return !hold; }));
    return BackendAnswer{ 200, {}, "finished" };
  } };
  Start(backends_);
  const std::string health = Request("GET /healthz");
  EXPECT_TRUE(Has(Call(health), " 200 "));
  healthy_ = false;
  EXPECT_TRUE(Has(Call(health), " 503 "));
  healthy_ = true;
  std::string answer;
  std::thread caller([&] { answer = Call(Request("GET /v1/services/births/work")); });
  EXPECT_TRUE(WaitFor([&] { return started.load(); }));
  gateway_->FailHealth();
  EXPECT_TRUE(Has(Call(health), " 503 "));
  EXPECT_TRUE(Has(Call(Request("POST /v1/request-ids?count=2")), "[\"e1.1.7\",\"e1.1.7\"]"));
  gateway_->RefuseNew();
  const std::string refused = Call(Request("GET /v1/services/births/work"));
  EXPECT_TRUE(Has(refused, " 503 ")) << refused;
  EXPECT_TRUE(Has(refused, "Sardinespoke-Outcome: not-run"));
  EXPECT_TRUE(Has(refused, "Retry-After: 1"));
  EXPECT_FALSE(gateway_->WaitIdle(std::chrono::milliseconds(1)));
  hold = false;
  EXPECT_TRUE(gateway_->WaitIdle(kLimit));
  gateway_->Shutdown();
  caller.join();
  EXPECT_TRUE(Has(answer, "finished"));
}

// Guards against a listener on all addresses, or one that shares a port with another process.
TEST_F(GatewayTest, BindsOnlyToItsAddress)
{
  Start(backends_);
  const auto listens = [&](const std::string& aAddress) {
    GatewaySettings settings = settings_;
    settings.listenAddress_ = aAddress;
    Gateway other(settings, clock_, dispatcher_, backends_, claims_, budget_, events_);
    return leaf::try_handle_all(
      [&]() -> leaf::result<bool> {
        BOOST_LEAF_CHECK(other.Init());
        return true;
      },
      [](const GatewayError& aError) { return aError.field_ != "caller"; },
      [] { return true; });
  };
  const std::string port = std::to_string(gateway_->Port());
  EXPECT_FALSE(listens("127.0.0.1:" + port));
  EXPECT_TRUE(listens("127.0.0.2:" + port));
  EXPECT_FALSE(listens("localhost:" + port));
  EXPECT_FALSE(listens("127.0.0.1:99999"));
}

}
}
