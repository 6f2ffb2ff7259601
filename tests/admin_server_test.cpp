#include "raw_server.h"

#include "sardinespoke/admin_server.h"
#include "sardinespoke/steady_clock.h"

#include <gtest/gtest.h>

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <optional>
#include <thread>

namespace sardinespoke {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr uint64_t kMegabyte = 1U << 20U;

/// A client's connection.
class Client
{
public:
  explicit Client(const std::string& aAddress)
    : socket_(RawConnect(aAddress))
  {
  }
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;
  ~Client() { close(socket_); }

  void Send(const std::string& aBytes) const
  {
    size_t sent = 0;
    while (sent < aBytes.size()) {
      const ssize_t count = send(socket_, aBytes.data() + sent, aBytes.size() - sent, MSG_NOSIGNAL);
      if (count <= 0) {
        return;
      }
      sent += static_cast<size_t>(count);
    }
  }

  /// Reads until a text has arrived or the server has closed the connection.
  std::string ReadUntil(const std::string& aText)
  {
    char chunk[4096];
    while (read_.find(aText) == std::string::npos) {
      pollfd entry{ socket_, POLLIN, 0 };
      const ssize_t count =
        poll(&entry, 1, kLimitMs) > 0 ? recv(socket_, chunk, sizeof(chunk), 0) : 0;
      if (count <= 0) {
        break;
      }
      read_.append(chunk, static_cast<size_t>(count));
    }
    return read_;
  }

  /// @returns Whether the server closes the connection.
  bool IsClosed()
  {
    ReadUntil("\nnever\n");
    char byte = 0;
    return recv(socket_, &byte, 1, MSG_DONTWAIT) == 0 || errno == ECONNRESET;
  }

private:
  static constexpr int kLimitMs = 10000;
  int socket_;
  std::string read_;
};

class AdminServerTest : public testing::Test
{
protected:
  static IntakeLimits Limits()
  {
    IntakeLimits limits;
    limits.budgetBytes_ = 8 * kMegabyte;
    limits.maxConnections_ = 8;
    return limits;
  }

  void Start()
  {
    server_.AddRoute("GET", "/things/@name", [](const AdminRequest& aRequest) {
      return AdminResponse::Json(
        200, { { "name", aRequest.Parameter("name") }, { "other", aRequest.Parameter("other") } });
    });
    server_.AddRoute("PUT", "/size", [](const AdminRequest& aRequest) {
      return AdminResponse::Json(200, { { "size", aRequest.body_.size() } });
    });
    server_.AddRoute("GET", "/slow", [](const AdminRequest&) {
      std::this_thread::sleep_for(milliseconds(2500));
      return AdminResponse::Json(200, { { "slow", true } });
    });
    server_.AddRoute("GET", "/number", [](const AdminRequest&) -> AdminResponse { throw 1; });
    const bool started = leaf::try_handle_all(
      [&]() -> leaf::result<bool> {
        BOOST_LEAF_CHECK(server_.Init(Endpoint{ Host(), kPort }));
        return true;
      },
      [] { return false; });
    ASSERT_TRUE(started);
  }

  void StartWithBudget(IntakeLimits aLimits = Limits())
  {
    budget_.emplace(aLimits, clock_);
    server_.SetBudget(*budget_);
    Start();
  }

  /// @returns A loopback address of this process, since tests run in parallel.
  static std::string Host()
  {
    const auto process = static_cast<unsigned int>(getpid());
    return "127.62." + std::to_string(process / 250 % 250) + "." +
           std::to_string(process % 250 + 1);
  }

  static std::string Address() { return Host() + ":" + std::to_string(kPort); }

  static std::string Head(const std::string& aRequestLine, const std::string& aFields = "")
  {
    return aRequestLine + " HTTP/1.1\r\nHost: admin\r\n" + aFields + "\r\n";
  }

  /// Waits until the counters have a property, for at most 10 s.
  template<typename Condition>
  bool WaitFor(Condition aCondition) const
  {
    for (int attempt = 0; attempt < 1000 && !aCondition(budget_->Counters()); ++attempt) {
      std::this_thread::sleep_for(milliseconds(10));
    }
    return aCondition(budget_->Counters());
  }

  static constexpr uint16_t kPort = 24621;
  SteadyClock clock_;
  std::optional<IntakeBudget> budget_;
  AdminServer server_;
};

// A parameter of the query must not replace the one of the path, which names what is changed.
TEST_F(AdminServerTest, TakesAParameterOfThePathBeforeOneOfTheQuery)
{
  StartWithBudget();
  const auto response = RawCall(Address(), Head("GET /things/a%20b?name=c&other=d+e%26"));
  EXPECT_NE(response.find(R"({"name":"a b","other":"d e&"})"), std::string::npos) << response;
}

// A profile document of nearly 1 MB exceeds 1 MiB if it is indented.
TEST_F(AdminServerTest, TakesTheLargestDocumentWithIndentation)
{
  Start();
  const std::string body(kMegabyte + kMegabyte / 2, ' ');
  Client client(Address());
  client.Send(Head("PUT /size", "Content-Length: " + std::to_string(body.size()) + "\r\n") + body);
  const auto response = client.ReadUntil("}");
  EXPECT_NE(response.find(R"({"size":1572864})"), std::string::npos) << response;
}

// Heads that are complete while their bodies are missing must not hold memory beside the budget.
TEST_F(AdminServerTest, CountsTheHeadOfAnUnfinishedRequest)
{
  StartWithBudget();
  Client idle(Address());
  ASSERT_TRUE(WaitFor([](const IntakeCounters& aNow) { return aNow.connections_ == 1; }));
  const uint64_t before = budget_->Counters().bytes_;
  const std::string field = "X-Filling: " + std::string(20000, 'x') + "\r\n";
  idle.Send(Head("PUT /size", field + "Content-Length: 10\r\n"));
  EXPECT_TRUE(
    WaitFor([&](const IntakeCounters& aNow) { return aNow.bytes_ >= before + field.size(); }))
    << budget_->Counters().bytes_ - before;
}

// A client must learn that its request was not run for lack of budget, and when to come back.
TEST_F(AdminServerTest, AnswersThatARequestFoundNoBudget)
{
  IntakeLimits limits = Limits();
  limits.budgetBytes_ = 110000;
  StartWithBudget(limits);
  const std::string field = "X-Filling: " + std::string(20000, 'x') + "\r\n";
  const auto response = RawCall(Address(), Head("GET /things/a", field));
  EXPECT_NE(response.find(" 503 "), std::string::npos) << response;
  EXPECT_NE(response.find("not-run"), std::string::npos) << response;
  EXPECT_NE(response.find("Retry-After: 1"), std::string::npos) << response;
  EXPECT_NE(RawCall(Address(), Head("GET /things/a")).find("200 OK"), std::string::npos);
}

// An exception of any type must not propagate into the C library, which would end the process.
TEST_F(AdminServerTest, AnswersWhenAHandlerThrows)
{
  StartWithBudget();
  const auto response = RawCall(Address(), Head("GET /number"));
  EXPECT_NE(response.find(" 500 "), std::string::npos) << response;
}

// A connection that is not counted back would use up the budget for good.
TEST_F(AdminServerTest, CountsBackWhateverClientsDo)
{
  StartWithBudget();
  const std::vector<std::string> beginnings{
    "",
    "GET",
    Head("PUT /size", "Content-Length: 1000\r\n") + "x",
    Head("PUT /size", "Transfer-Encoding: chunked\r\n") + "3\r\nabc\r\n",
    Head("PUT /size", "Transfer-Encoding: chunked\r\n") + "zzz\r\n",
    Head("PUT /size", "Content-Length: 2000000000\r\n"),
    Head("GET /nowhere") + Head("GET /things/a") + Head("GET /things/b"),
    "no request\r\n\r\n",
    Head("GET /" + std::string(70000, 'x')),
  };
  for (int round = 0; round < 5; ++round) {
    for (const std::string& beginning : beginnings) {
      const Client client(Address());
      client.Send(beginning);
    }
  }
  EXPECT_TRUE(WaitFor([](const IntakeCounters& aNow) { return aNow.connections_ == 0; }));
  EXPECT_EQ(budget_->Counters().bytes_, 0U);
  EXPECT_NE(RawCall(Address(), Head("GET /things/a")).find("200 OK"), std::string::npos);
}

// Work that lasts longer than the idle timeout must not lose its response.
TEST_F(AdminServerTest, SendsTheResponseOfLongWork)
{
  IntakeLimits limits = Limits();
  limits.idleTimeout_ = seconds(1);
  StartWithBudget(limits);
  Client client(Address());
  client.Send(Head("GET /slow") + Head("GET /things/next"));
  const auto response = client.ReadUntil("next");
  EXPECT_NE(response.find(R"({"slow":true})"), std::string::npos) << response;
  EXPECT_NE(response.find(R"("name":"next")"), std::string::npos) << response;
}

// A client must learn that a body above the limit was not taken, whatever the method.
TEST_F(AdminServerTest, RefusesAnAnnouncedBodyAboveTheLimit)
{
  StartWithBudget();
  for (const char* method : { "PUT", "POST", "DELETE", "GET", "PATCH" }) {
    for (const char* length : { "2000000000", "99999999999999999999" }) {
      Client client(Address());
      client.Send(
        Head(std::string(method) + " /size", "Content-Length: " + std::string(length) + "\r\n"));
      const auto response = client.ReadUntil("}");
      EXPECT_NE(response.find(" 413 "), std::string::npos) << method << " " << response;
      EXPECT_TRUE(client.IsClosed()) << method;
    }
  }
}

// A chunked body above the limit must be refused at its end, and closed if it does not end.
TEST_F(AdminServerTest, RefusesAChunkedBodyAboveTheLimit)
{
  StartWithBudget();
  const std::string chunk = "10000\r\n" + std::string(65536, 'x') + "\r\n";
  Client ending(Address());
  ending.Send(Head("PUT /size", "Transfer-Encoding: chunked\r\n"));
  for (int count = 0; count < 20; ++count) {
    ending.Send(chunk);
  }
  ending.Send("0\r\n\r\n");
  EXPECT_NE(ending.ReadUntil("}").find(" 413 "), std::string::npos);
  Client endless(Address());
  endless.Send(Head("PUT /size", "Transfer-Encoding: chunked\r\n"));
  for (int count = 0; count < 200; ++count) {
    endless.Send(chunk);
  }
  EXPECT_TRUE(endless.IsClosed());
}

// Chunk extensions must not occupy memory without end, nor keep a request alive.
TEST_F(AdminServerTest, BoundsChunkExtensions)
{
  StartWithBudget();
  Client client(Address());
  client.Send(Head("PUT /size", "Transfer-Encoding: chunked\r\n") + "1;");
  for (int count = 0; count < 100; ++count) {
    client.Send(std::string(10000, 'x'));
  }
  EXPECT_TRUE(client.IsClosed());
  EXPECT_TRUE(WaitFor([](const IntakeCounters& aNow) { return aNow.connections_ == 0; }));
}

// Stalled clients must not shut out the next one.
TEST_F(AdminServerTest, ClosesAStalledConnectionForTheNext)
{
  StartWithBudget();
  std::vector<std::unique_ptr<Client>> stalled;
  for (int count = 0; count < 100; ++count) {
    stalled.push_back(std::make_unique<Client>(Address()));
    stalled.back()->Send("GET /things/a HTTP/1.1\r\n");
  }
  EXPECT_NE(RawCall(Address(), Head("GET /things/a")).find("200 OK"), std::string::npos);
  EXPECT_GT(budget_->Counters().closedForConnections_, 0U);
  EXPECT_TRUE(WaitFor([](const IntakeCounters& aNow) { return aNow.connections_ <= 8; }));
}

// A stop must not wait for clients that have stalled.
TEST_F(AdminServerTest, StopsBesideStalledClients)
{
  StartWithBudget();
  Client body(Address());
  body.Send(Head("PUT /size", "Content-Length: 10\r\n") + "x");
  Client head(Address());
  head.Send("GET /");
  ASSERT_TRUE(WaitFor([](const IntakeCounters& aNow) { return aNow.connections_ == 2; }));
  server_.Shutdown();
  EXPECT_EQ(budget_->Counters().connections_, 0U);
  EXPECT_EQ(budget_->Counters().bytes_, 0U);
}

// libmicrohttpd 0.9.75 reads a null pointer if it refuses a request after the begin of its stop.
TEST_F(AdminServerTest, StopsBesideMalformedRequests)
{
  for (int round = 0; round < 100; ++round) {
    AdminServer server;
    const bool started = leaf::try_handle_all(
      [&]() -> leaf::result<bool> {
        BOOST_LEAF_CHECK(server.Init(Endpoint{ Host(), kPort }));
        return true;
      },
      [] { return false; });
    ASSERT_TRUE(started);
    std::vector<std::unique_ptr<Client>> clients;
    for (int count = 0; count < 30; ++count) {
      clients.push_back(std::make_unique<Client>(Address()));
      clients.back()->Send("no request\r\n\r\n");
    }
    server.Shutdown();
  }
}

// Callers keep connections open, and monitoring systems send HEAD.
TEST_F(AdminServerTest, KeepsConnectionsOpenAndAnswersHead)
{
  StartWithBudget();
  Client client(Address());
  client.Send(Head("HEAD /nowhere"));
  const auto head = client.ReadUntil("\r\n\r\n");
  EXPECT_NE(head.find(" 404 "), std::string::npos) << head;
  EXPECT_EQ(head.find("not-found"), std::string::npos) << head;
  client.Send(Head("GET /things/first"));
  EXPECT_NE(client.ReadUntil("first").find("200 OK"), std::string::npos);
  client.Send(Head("GET /things/second"));
  EXPECT_NE(client.ReadUntil("second").find("second"), std::string::npos);
}

}
}
