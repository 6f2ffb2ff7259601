#include "raw_server.h"
#include "sardinespoke/curl_backend_link.h"

#include <gtest/gtest.h>

#include <sys/socket.h>
#include <unistd.h>

#include <atomic>

namespace sardinespoke {
namespace {

using Code = BackendError::Code;

/// The response or the error code of one call.
struct CallResult
{
  std::optional<BackendResponse> response_;
  Code code_ = Code::Count;
};

CallResult
Call(CurlBackendLink& aLink, const BackendRequest& aRequest)
{
  return leaf::try_handle_all(
    [&]() -> leaf::result<CallResult> {
      BOOST_LEAF_AUTO(response, aLink.Send(aRequest));
      return CallResult{ response, Code::Count };
    },
    [](const BackendError& aError) {
      return CallResult{ std::nullopt, aError.code_ };
    },
    [] { return CallResult{}; });
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

/// Sends one request to a server that replies with the given bytes and closes the connection.
/// @returns The error code; Code::Count if the response was accepted.
Code
CodeFor(const std::string& aBytes, const std::string& aMethod = "POST")
{
  RawServer server([&](const std::string&, size_t) { return RawReply{ aBytes, true }; });
  CurlLinkSettings settings;
  settings.maxResponseBytes_ = 100;
  CurlBackendLink link(settings);
  BackendRequest request = Post(server.Address());
  request.method_ = aMethod;
  return Call(link, request).code_;
}

// Guards against libcurl resending a POST after the server ran it and closed the persistent
// connection: the request would run twice.
TEST(CurlBackendLink, DoesNotResendOnAPersistentConnection)
{
  RawServer server([](const std::string&, size_t aIndex) {
    return aIndex == 0 ? RawReply{ RawResponse("first"), false } : RawReply{ "", true };
  });
  CurlBackendLink link({});
  ASSERT_TRUE(Call(link, Post(server.Address())).response_);
  EXPECT_EQ(Call(link, Post(server.Address())).code_, Code::Incomplete);
  EXPECT_EQ(server.Requests().size(), 2U);
  EXPECT_EQ(server.Connections(), 1U);
  EXPECT_EQ(link.Counters().resendsBlocked_, 1U);
}

// Guards against the next request getting the late response of a timed-out one.
TEST(CurlBackendLink, ClosesTheConnectionAfterATimeout)
{
  std::atomic<bool> holdResponse{ true };
  RawServer server([&](const std::string&, size_t aIndex) {
    return aIndex == 0 ? RawReply{ RawResponse("late"), false, [&] { return holdResponse.load(); } }
                       : RawReply{ RawResponse("second"), false };
  });
  CurlBackendLink link({});
  BackendRequest request = Post(server.Address());
  request.timeout_ = std::chrono::milliseconds(50);
  EXPECT_EQ(Call(link, request).code_, Code::Timeout);
  holdResponse = false;
  const CallResult second = Call(link, Post(server.Address()));
  ASSERT_TRUE(second.response_);
  EXPECT_EQ(second.response_->body_, "second");
  EXPECT_EQ(server.Connections(), 2U);
}

// Guards against an unsolicited second response on a persistent connection being taken for the
// response to the next request. Here it arrives together with the first response.
TEST(CurlBackendLink, ClosesConnectionWithUnsolicitedBytes)
{
  RawServer server([](const std::string&, size_t aIndex) {
    return aIndex == 0 ? RawReply{ RawResponse("one") + RawResponse("not-asked-for"), false }
                       : RawReply{ RawResponse("two"), false };
  });
  CurlBackendLink link({});
  ASSERT_TRUE(Call(link, Post(server.Address())).response_);
  const CallResult second = Call(link, Post(server.Address()));
  ASSERT_TRUE(second.response_);
  EXPECT_EQ(second.response_->body_, "two");
}

// Guards against an unsolicited response that arrives while the connection is idle being taken for
// the response to the next request.
TEST(CurlBackendLink, ClosesIdleConnectionThatReceivesBytes)
{
  std::atomic<bool> holdResponse{ true };
  RawServer server([&](const std::string&, size_t aIndex) {
    RawReply reply{ RawResponse(aIndex == 0 ? "one" : "two"), false };
    if (aIndex == 0) {
      reply.extra_ = RawResponse("not-asked-for");
      reply.extraWhile_ = [&] { return holdResponse.load(); };
    }
    return reply;
  });
  CurlBackendLink link({});
  ASSERT_TRUE(Call(link, Post(server.Address())).response_);
  holdResponse = false;
  while (server.ExtrasSent() == 0) {
    std::this_thread::yield();
  }
  const CallResult second = Call(link, Post(server.Address()));
  ASSERT_TRUE(second.response_);
  EXPECT_EQ(second.response_->body_, "two");
  EXPECT_EQ(server.Connections(), 2U);
}

// Guards against accepting the response of another request when the server confuses responses.
TEST(CurlBackendLink, RejectsResponseOfAnotherAttempt)
{
  EXPECT_EQ(CodeFor(RawResponse("x", "Sardinespoke-Attempt: a.2\r\n")), Code::Incomplete);
  EXPECT_EQ(CodeFor(RawResponse("x", "Sardinespoke-Attempt: a.1\r\n")), Code::Count);
}

// Guards against delivering a truncated response as a complete one.
TEST(CurlBackendLink, RejectsTruncatedResponses)
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

// Guards against rejecting valid responses that have no body.
TEST(CurlBackendLink, AcceptsResponsesWithoutBody)
{
  EXPECT_EQ(CodeFor("HTTP/1.1 204 No Content\r\n\r\n"), Code::Count);
  EXPECT_EQ(CodeFor("HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n", "HEAD"), Code::Count);
}

// Guards against a response that exhausts the memory of the entry host.
TEST(CurlBackendLink, LimitsResponseSize)
{
  EXPECT_EQ(CodeFor(RawResponse(std::string(100, 'x'))), Code::Count);
  EXPECT_EQ(CodeFor(RawResponse(std::string(101, 'x'))), Code::TooLarge);
}

// Guards against reporting a refused slot as a response or as an unknown outcome.
TEST(CurlBackendLink, RecognisesARefusedSlot)
{
  EXPECT_EQ(CodeFor("HTTP/1.1 503 Busy\r\nSardinespoke-Refused: slots\r\n"
                    "Content-Length: 0\r\n\r\n"),
            Code::SlotsRefused);
  EXPECT_EQ(CodeFor("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"), Code::Count);
}

// Guards against reporting a request as possibly run although the connection was refused.
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

// Guards against sending a request after the view expired while the connection was being opened;
// checks a new and a persistent connection.
TEST(CurlBackendLink, SendsNothingIfTheViewExpired)
{
  RawServer server([](const std::string&, size_t) { return RawReply{ RawResponse("ok"), false }; });
  CurlBackendLink link({});
  BackendRequest request = Post(server.Address());
  request.mayStart_ = [] { return false; };
  EXPECT_EQ(Call(link, request).code_, Code::Stale);
  ASSERT_TRUE(Call(link, Post(server.Address())).response_);
  EXPECT_EQ(Call(link, request).code_, Code::Stale);
  EXPECT_EQ(server.Requests().size(), 1U);
}

// Guards against a transfer that continues after its caller disconnected.
TEST(CurlBackendLink, AbortsACancelledTransfer)
{
  RawServer server([](const std::string&, size_t) {
    return RawReply{ "", false, [] { return true; } };
  });
  CurlBackendLink link({});
  BackendRequest request = Post(server.Address());
  request.cancelled_ = [&] { return !server.Requests().empty(); };
  EXPECT_EQ(Call(link, request).code_, Code::Incomplete);
}

// Guards against opening more connections to one backend server than allowed.
TEST(CurlBackendLink, LimitsTheConnectionsPerHost)
{
  std::atomic<bool> holdResponse{ true };
  RawServer server([&](const std::string&, size_t) {
    return RawReply{ RawResponse("ok"), false, [&] { return holdResponse.load(); } };
  });
  CurlLinkSettings settings;
  settings.connectionsPerHost_ = 1;
  CurlBackendLink link(settings);
  std::thread first([&] { EXPECT_TRUE(Call(link, Post(server.Address())).response_); });
  while (server.Requests().empty()) {
    std::this_thread::yield();
  }
  EXPECT_EQ(Call(link, Post(server.Address())).code_, Code::NotSent);
  holdResponse = false;
  first.join();
}

// Guards against headers that libcurl adds by default, dropped empty headers and a rewritten path.
TEST(CurlBackendLink, SendsExactlyTheGivenHeaders)
{
  RawServer server([](const std::string&, size_t) { return RawReply{ RawResponse("ok"), false }; });
  CurlBackendLink link({});
  BackendRequest request = Post(server.Address());
  request.path_ = "/a/../b?x={1}";
  request.body_.assign(70000, 'x');
  ASSERT_TRUE(Call(link, request).response_);
  const std::string sent = server.Requests().at(0);
  EXPECT_EQ(sent.substr(0, sent.find("\r\n\r\n")),
            "POST /a/../b?x={1} HTTP/1.1\r\nHost: " + server.Address() +
              "\r\nSardinespoke-Attempt: a.1\r\nX-Empty:\r\nContent-Length: 70000");
}

// Guards against opening a connection per request, which would cost more than the request itself.
TEST(CurlBackendLink, ReusesConnections)
{
  RawServer server([](const std::string&, size_t) { return RawReply{ RawResponse("ok"), false }; });
  CurlBackendLink link({});
  for (const char* method : { "POST", "GET", "POST", "DELETE", "GET" }) {
    BackendRequest request = Post(server.Address());
    request.method_ = method;
    request.body_ = request.method_ == "POST" ? "x" : "";
    ASSERT_TRUE(Call(link, request).response_) << method;
  }
  EXPECT_EQ(server.Connections(), 1U);
}

}
}
