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
Contains(const std::string& aText, const std::string& aPart)
{
  return aText.find(aPart) != std::string::npos;
}

/// Waits for a condition.
/// @returns False after kLimit, so that a failing test does not hang.
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
    settings_.hangupPollInterval_ = std::chrono::milliseconds(5);
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

// Guards against malformed requests that reach a backend server or whose refusal does not name the
// invalid field.
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
    const std::string response = Call(bytes);
    EXPECT_TRUE(Contains(response, "Sardinespoke-Outcome: not-run")) << bytes << response;
    EXPECT_TRUE(Contains(response, "\"field\":\"" + field + "\"")) << bytes << response;
  }
  EXPECT_TRUE(backends_.requests_.empty());
}

// Guards against requests that exhaust the memory of the entry host.
TEST_F(GatewayTest, LimitsBodyAndHeaders)
{
  Start(backends_);
  const std::string line = "PUT /v1/services/births/work";
  EXPECT_TRUE(Contains(Call(Request(line, "", std::string(1000, 'x'))), " 200 "));
  EXPECT_TRUE(Contains(Call(Request(line, "", std::string(1001, 'x'))), " 413 "));
  std::string chunked = line + " HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n3e9\r\n";
  chunked += std::string(1001, 'x') + "\r\n0\r\n\r\n";
  EXPECT_TRUE(Contains(Call(chunked), " 413 "));
  EXPECT_TRUE(Contains(Call(Request(line, "X-A: " + std::string(17000, 'x') + "\r\n")), " 431 "));
  std::string many;
  for (int i = 0; i < 70; ++i) {
    many += "X-" + std::to_string(i) + ": 1\r\n";
  }
  EXPECT_TRUE(Contains(Call(Request(line, many)), " 431 "));
  EXPECT_EQ(backends_.requests_.size(), 1U);
}

// Guards against forwarding forged gateway headers and hop-by-hop headers, and against decoding the
// path.
TEST_F(GatewayTest, ForwardsOnlyEndToEndHeaders)
{
  Start(backends_);
  const std::string response = Call(Request("PUT /v1/services/births/a%2f%0d%0aX:1?q=%20",
                                            "Sardinespoke-Attempt: forged\r\nConnection: X-Hop\r\n"
                                            "X-Hop: 1\r\nX-A: 1\r\nX-A: 2\r\nTE: x\r\n",
                                            "body"));
  EXPECT_TRUE(Contains(response, "Sardinespoke-Outcome: ok")) << response;
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

// Guards against a response that loses its status, headers, body or, for HEAD, its length.
TEST_F(GatewayTest, DeliversTheWholeResponse)
{
  Start(backends_);
  backends_.steps_ = { FakeBackendLink::Respond(
    { 418, { { "X-B", "1" }, { "X-B", "2" } }, std::string("a\0b", 3) }) };
  const std::string response = Call(Request("GET /v1/services/births/work"));
  EXPECT_TRUE(Contains(response, " 418 "));
  EXPECT_TRUE(Contains(response, "X-B: 1\r\nX-B: 2\r\n"));
  EXPECT_TRUE(Contains(response, std::string("\r\n\r\na\0b", 7)));
  backends_.steps_ = { FakeBackendLink::Respond({ 200, { { "Content-Length", "7" } }, "" }) };
  const int caller = RawConnect(address_);
  const std::string head = Request("HEAD /v1/services/births/work", "Connection: close\r\n");
  ASSERT_EQ(send(caller, head.data(), head.size(), 0), static_cast<ssize_t>(head.size()));
  std::string received(4096, '\0');
  received.resize(static_cast<size_t>(recv(caller, received.data(), received.size(), MSG_WAITALL)));
  close(caller);
  EXPECT_TRUE(Contains(received, "Content-Length: 7\r\n")) << received;
  EXPECT_TRUE(received.ends_with("\r\n\r\n"));
}

// Guards against the idle timeout closing the connection of a request that runs for longer.
TEST_F(GatewayTest, IdleTimeoutExcludesRunTime)
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
  EXPECT_TRUE(Contains(Call(Request("GET /v1/services/births/work")), "long"));
}

// Guards against a POST that runs twice, or is reported as not run, when the backend server runs it
// and then closes the persistent connection.
TEST_F(GatewayTest, DisconnectAfterSendIsUnknownAndRunsOnce)
{
  RawServer server([](const std::string&, size_t aIndex) {
    return aIndex == 0 ? RawReply{ RawResponse("first"), false } : RawReply{ "", true };
  });
  CurlBackendLink link({});
  dispatcher_.address_ = server.Address();
  Start(link);
  const std::string post =
    Request("POST /v1/services/births/charge", "Sardinespoke-Request-Id: e1.1.5\r\n", "x");
  EXPECT_TRUE(Contains(Call(post), "Sardinespoke-Outcome: ok"));
  EXPECT_TRUE(Contains(Call(post), "Sardinespoke-Outcome: unknown"));
  EXPECT_EQ(server.Requests().size(), 2U);
}

// Guards against reporting "not-run" for a request that ran before an internal error.
TEST_F(GatewayTest, InternalErrorIsUnknown)
{
  claims_.failsToFinish_ = true;
  Start(backends_);
  const std::string response =
    Call(Request("POST /v1/services/births/charge", "Sardinespoke-Request-Id: e1.1.5\r\n", "x"));
  EXPECT_TRUE(Contains(response, " 500 ")) << response;
  EXPECT_TRUE(Contains(response, "Sardinespoke-Outcome: unknown"));
}

// Guards against work that continues after its caller closed the connection.
TEST_F(GatewayTest, DetectsCallerDisconnect)
{
  std::atomic<bool> started{ false };
  backends_.steps_ = { [&](const BackendRequest& aRequest) -> leaf::result<BackendResponse> {
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
  EXPECT_EQ(gateway_->Counters().callerDisconnects_, 1U);
  EXPECT_EQ(dispatcher_.results_, std::vector{ AttemptResult::Cancelled });
}

// Guards against a graceful stop that aborts requests in flight or accepts new ones.
TEST_F(GatewayTest, GracefulStopInThreeSteps)
{
  std::atomic<bool> started{ false };
  std::atomic<bool> hold{ true };
  backends_.steps_ = { [&](const BackendRequest&) -> leaf::result<BackendResponse> {
    started = true;
    EXPECT_TRUE(WaitFor([&] { return !hold; }));
    return BackendResponse{ 200, {}, "finished" };
  } };
  Start(backends_);
  const std::string health = Request("GET /healthz");
  EXPECT_TRUE(Contains(Call(health), " 200 "));
  healthy_ = false;
  EXPECT_TRUE(Contains(Call(health), " 503 "));
  healthy_ = true;
  std::string response;
  std::thread caller([&] { response = Call(Request("GET /v1/services/births/work")); });
  EXPECT_TRUE(WaitFor([&] { return started.load(); }));
  gateway_->FailHealth();
  EXPECT_TRUE(Contains(Call(health), " 503 "));
  EXPECT_TRUE(Contains(Call(Request("POST /v1/request-ids?count=2")), "[\"e1.1.7\",\"e1.1.7\"]"));
  gateway_->RefuseNewRequests();
  const std::string refused = Call(Request("GET /v1/services/births/work"));
  EXPECT_TRUE(Contains(refused, " 503 ")) << refused;
  EXPECT_TRUE(Contains(refused, "Sardinespoke-Outcome: not-run"));
  EXPECT_TRUE(Contains(refused, "Retry-After: 1"));
  EXPECT_FALSE(gateway_->WaitIdle(std::chrono::milliseconds(1)));
  hold = false;
  EXPECT_TRUE(gateway_->WaitIdle(kLimit));
  gateway_->Shutdown();
  caller.join();
  EXPECT_TRUE(Contains(response, "finished"));
}

// Guards against a stop that ends the process: libmicrohttpd 0.9.75 reads a null pointer if it
// refuses a request after the begin of MHD_stop_daemon().
TEST_F(GatewayTest, StopsBesideMalformedRequests)
{
  for (int round = 0; round < 20; ++round) {
    Start(backends_);
    std::vector<int> clients;
    for (int count = 0; count < 200; ++count) {
      clients.push_back(RawConnect(address_));
      const std::string first = Request("GET /healthz");
      send(clients.back(), first.data(), first.size(), MSG_NOSIGNAL);
    }
    std::thread sender([&] {
      const std::string malformed = "no request\r\n\r\n";
      for (const int client : clients) {
        std::this_thread::sleep_for(std::chrono::microseconds(400));
        send(client, malformed.data(), malformed.size(), MSG_NOSIGNAL);
      }
    });
    gateway_->Shutdown();
    sender.join();
    for (const int client : clients) {
      close(client);
    }
  }
}

// Guards against listening on all addresses, and against sharing a port with another process.
TEST_F(GatewayTest, BindsOnlyToConfiguredAddress)
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
