#include "raw_server.h"
#include "sardinespoke/curl_backend_link.h"

#include <gtest/gtest.h>

#include <sys/socket.h>
#include <unistd.h>

#include <atomic>

namespace sardinespoke {
namespace {

using Code = BackendError::Code;

/// The answer or the error code of one call.
struct Sent
{
  std::optional<BackendAnswer> answer_;
  Code code_ = Code::Count;
};

Sent
Call(CurlBackendLink& aLink, const BackendRequest& aRequest)
{
  return leaf::try_handle_all(
    [&]() -> leaf::result<Sent> {
      BOOST_LEAF_AUTO(answer, aLink.Send(aRequest));
      return Sent{ answer, Code::Count };
    },
    [](const BackendError& aError) {
      return Sent{ std::nullopt, aError.code_ };
    },
    [] { return Sent{}; });
}

BackendRequest
Post(const std::string& aAddress)
{
  BackendRequest request;
  request.address_ = aAddress;
  request.method_ = "POST";
  request.path_ = "/work?ms=1";
  request.headers_ = { { "Sardinespoke-Attempt", "a.1" }, { "X-Empty", "" } };
  request.body_ = "charge";
  request.timeout_ = std::chrono::seconds(5);
  return request;
}

/// Runs one request against a server that answers with the given bytes and closes.
Code
CodeFor(const std::string& aBytes, const std::string& aMethod = "POST")
{
  RawServer server([&](const std::string&, size_t) { return RawReply{ aBytes, true }; });
  CurlLinkSettings settings;
  settings.maxAnswerBytes_ = 100;
  CurlBackendLink link(settings);
  BackendRequest request = Post(server.Address());
  request.method_ = aMethod;
  return Call(link, request).code_;
}

// Guards against libcurl repeating a POST by itself after the server acted on it and closed a kept
// connection: the request would run twice.
TEST(CurlBackendLink, DoesNotRepeatARequestOnAKeptConnection)
{
  RawServer server([](const std::string&, size_t aIndex) {
    return aIndex == 0 ? RawReply{ RawResponse("first"), false } : RawReply{ "", true };
  });
  CurlBackendLink link({});
  ASSERT_TRUE(Call(link, Post(server.Address())).answer_);
  EXPECT_EQ(Call(link, Post(server.Address())).code_, Code::Incomplete);
  EXPECT_EQ(server.Requests().size(), 2U);
  EXPECT_EQ(server.Connections(), 1U);
  EXPECT_EQ(link.Counters().secondConnectionsRefused_, 1U);
}

// Guards against a late answer of a timed-out request being given to the next request.
TEST(CurlBackendLink, ClosesTheConnectionAfterATimeout)
{
  std::atomic<bool> hold{ true };
  RawServer server([&](const std::string&, size_t aIndex) {
    return aIndex == 0 ? RawReply{ RawResponse("late"), false, [&] { return hold.load(); } }
                       : RawReply{ RawResponse("second"), false };
  });
  CurlBackendLink link({});
  BackendRequest request = Post(server.Address());
  request.timeout_ = std::chrono::milliseconds(50);
  EXPECT_EQ(Call(link, request).code_, Code::Timeout);
  hold = false;
  const Sent second = Call(link, Post(server.Address()));
  ASSERT_TRUE(second.answer_);
  EXPECT_EQ(second.answer_->body_, "second");
  EXPECT_EQ(server.Connections(), 2U);
}

// Guards against an unrequested second answer on a kept connection being taken for the answer to
// the next request.
TEST(CurlBackendLink, DropsAConnectionWithUnrequestedBytes)
{
  RawServer server([](const std::string&, size_t aIndex) {
    return aIndex == 0 ? RawReply{ RawResponse("one") + RawResponse("not-asked-for"), false }
                       : RawReply{ RawResponse("two"), false };
  });
  CurlBackendLink link({});
  ASSERT_TRUE(Call(link, Post(server.Address())).answer_);
  const Sent second = Call(link, Post(server.Address()));
  ASSERT_TRUE(second.answer_);
  EXPECT_EQ(second.answer_->body_, "two");
}

// Guards against the same when the bytes come while the connection is kept.
TEST(CurlBackendLink, DropsAKeptConnectionThatReceivesBytes)
{
  std::atomic<bool> hold{ true };
  RawServer server([&](const std::string&, size_t aIndex) {
    RawReply reply{ RawResponse(aIndex == 0 ? "one" : "two"), false };
    if (aIndex == 0) {
      reply.extra_ = RawResponse("not-asked-for");
      reply.extraWhile_ = [&] { return hold.load(); };
    }
    return reply;
  });
  CurlBackendLink link({});
  ASSERT_TRUE(Call(link, Post(server.Address())).answer_);
  hold = false;
  while (server.ExtrasSent() == 0) {
    std::this_thread::yield();
  }
  const Sent second = Call(link, Post(server.Address()));
  ASSERT_TRUE(second.answer_);
  EXPECT_EQ(second.answer_->body_, "two");
  EXPECT_EQ(server.Connections(), 2U);
}

// Guards against another request's answer being accepted when the server mixes answers up.
TEST(CurlBackendLink, RefusesAnAnswerToAnotherAttempt)
{
  EXPECT_EQ(CodeFor(RawResponse("x", "Sardinespoke-Attempt: a.2\r\n")), Code::Incomplete);
  EXPECT_EQ(CodeFor(RawResponse("x", "Sardinespoke-Attempt: a.1\r\n")), Code::Count);
}

// Guards against a cut answer being delivered as a whole one.
TEST(CurlBackendLink, RefusesEveryAnswerThatMayBeCut)
{
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  EXPECT_EQ(CodeFor(ok + "Content-Length: 10\r\n\r\nshort"), Code::Incomplete);
  EXPECT_EQ(CodeFor(ok + "\r\nclose-delimited"), Code::Incomplete);
  EXPECT_EQ(CodeFor(ok + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"), Code::Incomplete);
  EXPECT_EQ(CodeFor(ok + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"), Code::Count);
  EXPECT_EQ(CodeFor(ok + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd"), Code::Incomplete);
  EXPECT_EQ(CodeFor(ok + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
            Code::Incomplete);
  EXPECT_EQ(CodeFor(ok + "Content-Le"), Code::Incomplete);
  EXPECT_EQ(CodeFor("HTTP/1.1 100 Continue\r\n\r\n"), Code::Incomplete);
  EXPECT_EQ(CodeFor("nonsense\r\n\r\n"), Code::Incomplete);
  EXPECT_EQ(CodeFor(""), Code::Incomplete);
}

// Guards against valid answers without a body being refused.
TEST(CurlBackendLink, AcceptsAnswersThatHaveNoBody)
{
  EXPECT_EQ(CodeFor("HTTP/1.1 204 No Content\r\n\r\n"), Code::Count);
  EXPECT_EQ(CodeFor("HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n", "HEAD"), Code::Count);
}

// Guards against an answer that fills the memory of the entry host.
TEST(CurlBackendLink, LimitsTheAnswer)
{
  EXPECT_EQ(CodeFor(RawResponse(std::string(100, 'x'))), Code::Count);
  EXPECT_EQ(CodeFor(RawResponse(std::string(101, 'x'))), Code::TooLarge);
}

// Guards against a refused slot being reported as an answer or as unknown.
TEST(CurlBackendLink, RecognisesARefusedSlot)
{
  EXPECT_EQ(CodeFor("HTTP/1.1 503 Busy\r\nSardinespoke-Refused: slots\r\n"
                    "Content-Length: 0\r\n\r\n"),
            Code::SlotsRefused);
  EXPECT_EQ(CodeFor("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"), Code::Count);
}

// Guards against a request being reported as possibly run although nobody listened.
TEST(CurlBackendLink, ReportsARefusedConnectionAsNotSent)
{
  std::string address;
  {
    const RawServer closed([](const std::string&, size_t) { return RawReply{}; });
    address = closed.Address();
  }
  CurlBackendLink link({});
  EXPECT_EQ(Call(link, Post(address)).code_, Code::NotSent);
}

// Guards against sending on a view that lapsed while the connection was being opened, on a new and
// on a kept connection.
TEST(CurlBackendLink, SendsNothingIfTheViewLapsed)
{
  RawServer server([](const std::string&, size_t) { return RawReply{ RawResponse("ok"), false }; });
  CurlBackendLink link({});
  BackendRequest request = Post(server.Address());
  request.mayStart_ = [] { return false; };
  EXPECT_EQ(Call(link, request).code_, Code::Stale);
  ASSERT_TRUE(Call(link, Post(server.Address())).answer_);
  EXPECT_EQ(Call(link, request).code_, Code::Stale);
  EXPECT_EQ(server.Requests().size(), 1U);
}

// Guards against a transfer that goes on for a caller that has left.
TEST(CurlBackendLink, CutsACancelledTransfer)
{
  RawServer server([](const std::string&, size_t) {
    return RawReply{ "", false, [] { return true; } };
  });
  CurlBackendLink link({});
  BackendRequest request = Post(server.Address());
  request.cancelled_ = [&] { return !server.Requests().empty(); };
  EXPECT_EQ(Call(link, request).code_, Code::Incomplete);
}

// Guards against more connections to one backend server than it accepts.
TEST(CurlBackendLink, LimitsTheConnectionsPerHost)
{
  std::atomic<bool> hold{ true };
  RawServer server([&](const std::string&, size_t) {
    return RawReply{ RawResponse("ok"), false, [&] { return hold.load(); } };
  });
  CurlLinkSettings settings;
  settings.connectionsPerHost_ = 1;
  CurlBackendLink link(settings);
  std::thread first([&] { EXPECT_TRUE(Call(link, Post(server.Address())).answer_); });
  while (server.Requests().empty()) {
    std::this_thread::yield();
  }
  EXPECT_EQ(Call(link, Post(server.Address())).code_, Code::NotSent);
  hold = false;
  first.join();
}

// Guards against headers that libcurl adds by itself and against lost empty fields.
TEST(CurlBackendLink, SendsExactlyTheGivenHeaders)
{
  RawServer server([](const std::string&, size_t) { return RawReply{ RawResponse("ok"), false }; });
  CurlBackendLink link({});
  BackendRequest request = Post(server.Address());
  request.path_ = "/a/../b?x={1}";
  request.body_.assign(70000, 'x');
  ASSERT_TRUE(Call(link, request).answer_);
  const std::string sent = server.Requests().at(0);
  EXPECT_EQ(sent.substr(0, sent.find("\r\n\r\n")),
            "POST /a/../b?x={1} HTTP/1.1\r\nHost: " + server.Address() +
              "\r\nSardinespoke-Attempt: a.1\r\nX-Empty:\r\nContent-Length: 70000");
}

// Guards against a connection per request, which would cost more than the request itself.
TEST(CurlBackendLink, ReusesConnections)
{
  RawServer server([](const std::string&, size_t) { return RawReply{ RawResponse("ok"), false }; });
  CurlBackendLink link({});
  for (const char* method : { "POST", "GET", "POST", "DELETE", "GET" }) {
    BackendRequest request = Post(server.Address());
    request.method_ = method;
    request.body_ = request.method_ == "POST" ? "x" : "";
    ASSERT_TRUE(Call(link, request).answer_) << method;
  }
  EXPECT_EQ(server.Connections(), 1U);
}

}
}
