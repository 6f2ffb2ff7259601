#include "sardinespoke/nng_peer_link.h"

#include "bounded_json_p.h"
#include "silencing_proxy.h"

#include <gtest/gtest.h>

#include <future>
#include <nng/nng.h>
#include <nng/protocol/reqrep0/req.h>
#include <thread>

namespace sardinespoke {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr milliseconds kTimeout{ 2000 };

PeerError::Code
CodeOf(const std::function<leaf::result<json>()>& aCall)
{
  return leaf::try_handle_all(
    [&]() -> leaf::result<PeerError::Code> {
      BOOST_LEAF_CHECK(aCall());
      return PeerError::Code::Count;
    },
    [](const PeerError& aError) { return aError.code_; },
    []() { return PeerError::Code::Count; });
}

class NngPeerLinkTest : public ::testing::Test
{
protected:
  NngPeerLinkTest()
    : server_(PeerLinkSettings{ .listen_ = "127.0.0.1:0" })
    , client_(PeerLinkSettings{ .listen_ = "127.0.0.1:0" })
  {
    server_.Handle("Echo", [this](const json& aMessage) -> leaf::result<json> {
      ++handled_;
      return json{ { "text", aMessage.at("text") } };
    });
    server_.Handle("Slow", [](const json&) -> leaf::result<json> {
      std::this_thread::sleep_for(milliseconds(300));
      return json::object();
    });
    server_.HandleAsync("Later", [this](const json&, const NngPeerLink::Reply& aReply) {
      const std::lock_guard lock(mutex_);
      pendingReplies_.push_back(aReply);
    });
    server_.HandleAsync("Read", [](const json& aMessage, const NngPeerLink::Reply& aReply) {
      aReply({ { "text", aMessage.at("text").get<std::string>() } });
    });
    EXPECT_TRUE(server_.Init());
    EXPECT_TRUE(client_.Init());
  }

  leaf::result<json> Call(const json& aMessage, milliseconds aTimeout = kTimeout)
  {
    return client_.Call(server_.Address(), aMessage, aTimeout);
  }

  /// Sends raw bytes, like a peer that violates the message format.
  json SendRaw(const std::vector<uint8_t>& aBytes) const
  {
    nng_socket socket = NNG_SOCKET_INITIALIZER;
    nng_req0_open(&socket);
    nng_dial(socket, ("tcp://" + server_.Address()).c_str(), nullptr, 0);
    nng_send(socket, const_cast<uint8_t*>(aBytes.data()), aBytes.size(), 0);
    char* reply = nullptr;
    size_t size = 0;
    EXPECT_EQ(nng_recv(socket, static_cast<void*>(&reply), &size, NNG_FLAG_ALLOC), 0);
    json result = json::from_cbor(reply, reply + size);
    nng_free(reply, size);
    nng_close(socket);
    return result;
  }

  std::atomic<int> handled_{ 0 };
  std::mutex mutex_; ///< Guards pendingReplies_.
  std::vector<NngPeerLink::Reply> pendingReplies_;
  NngPeerLink server_;
  NngPeerLink client_;
};

// Guards against one slow handler blocking other messages.
TEST_F(NngPeerLinkTest, HandlesMessagesInParallel)
{
  std::thread slow([&]() { EXPECT_TRUE(Call({ { "type", "Slow" } })); });
  const auto start = std::chrono::steady_clock::now();
  auto reply = Call({ { "type", "Echo" }, { "text", "a" } });
  EXPECT_TRUE(reply && reply.value()["text"] == "a");
  EXPECT_LT(std::chrono::steady_clock::now() - start, milliseconds(250));
  slow.join();
}

// Guards against pending replies occupying all threads: if a leader's threads all waited for the
// store, pings would time out and the other entry hosts would consider the leader dead.
TEST_F(NngPeerLinkTest, PendingRepliesDoNotBlockOtherMessages)
{
  constexpr size_t kPendingCalls = 100; // Far above the number of handler threads.
  std::vector<std::thread> callers;
  std::atomic<size_t> replied{ 0 };
  for (size_t index = 0; index < kPendingCalls; ++index) {
    callers.emplace_back([&]() {
      auto reply = Call({ { "type", "Later" } }, milliseconds(5000));
      replied += reply && reply.value()["text"] == "late" ? 1 : 0;
    });
  }
  const auto allPending = [&]() {
    const std::lock_guard lock(mutex_);
    return pendingReplies_.size() == kPendingCalls;
  };
  for (int turn = 0; turn < 300 && !allPending(); ++turn) {
    std::this_thread::sleep_for(milliseconds(10));
  }
  ASSERT_TRUE(allPending());
  EXPECT_TRUE(Call({ { "type", "Echo" }, { "text", "a" } }));
  for (const NngPeerLink::Reply& reply : pendingReplies_) {
    reply({ { "text", "late" } });
    reply({ { "text", "again" } });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  EXPECT_EQ(replied, kPendingCalls);
}

// Guards against access to a stopped link by a reply that is sent after Shutdown().
TEST_F(NngPeerLinkTest, ReplyAfterShutdownIsIgnored)
{
  std::thread caller([&]() { EXPECT_FALSE(Call({ { "type", "Later" } }, milliseconds(600))); });
  std::this_thread::sleep_for(milliseconds(200));
  server_.Shutdown();
  caller.join();
  const std::lock_guard lock(mutex_);
  ASSERT_EQ(pendingReplies_.size(), 1U);
  pendingReplies_.front()({ { "text", "late" } });
}

// Guards against an invalid message that has an effect, crashes the process or is not counted.
TEST_F(NngPeerLinkTest, RejectsAndCountsInvalidMessages)
{
  EXPECT_EQ(CodeOf([&]() { return Call({ { "type", "Nothing" } }); }), PeerError::Code::Refused);
  EXPECT_EQ(CodeOf([&]() { return Call({ { "type", "Echo" } }); }), PeerError::Code::Refused);
  EXPECT_EQ(server_.Counters().unknown_, 1U);
  EXPECT_EQ(server_.Counters().malformed_, 1U);
  EXPECT_TRUE(SendRaw({ 0xff, 0x00 }).contains("error"));
  EXPECT_TRUE(SendRaw(std::vector<uint8_t>(1 << 20, 0x81)).contains("error"));
  EXPECT_TRUE(SendRaw({ 0x5b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff }).contains("error"));
  EXPECT_EQ(server_.Counters().malformed_, 4U);
}

// A message of another type than text, or one that an asynchronous handler cannot read, ended the
// process.
TEST_F(NngPeerLinkTest, MessagesThatHandlersCannotReadEndNoProcess)
{
  EXPECT_EQ(CodeOf([&]() { return Call({ { "type", 7 } }); }), PeerError::Code::Refused);
  EXPECT_EQ(CodeOf([&]() {
              return Call({ { "type", "Read" }, { "text", 7 } });
            }),
            PeerError::Code::Refused);
  EXPECT_TRUE(Call({ { "type", "Read" }, { "text", "a" } }));
}

// Guards against handling a request twice that nng resends.
TEST_F(NngPeerLinkTest, ResentRequestGetsTheCachedReply)
{
  const std::vector<uint8_t> bytes =
    json::to_cbor(json{ { "nonce", "n1" }, { "body", { { "type", "Echo" }, { "text", "x" } } } });
  const json first = SendRaw(bytes);
  EXPECT_EQ(SendRaw(bytes), first);
  EXPECT_EQ(handled_, 1);
  EXPECT_EQ(server_.Counters().duplicates_, 1U);
}

// Guards against reporting a message that may have taken effect as never sent.
TEST_F(NngPeerLinkTest, DistinguishesUnreachableFromTimeout)
{
  EXPECT_EQ(CodeOf([&]() {
              return Call({ { "type", "Slow" } }, milliseconds(100));
            }),
            PeerError::Code::Timeout);
  // Uses a peer that was never connected: after a disconnect, bytes may still be in transit.
  NngPeerLink gone(PeerLinkSettings{ .listen_ = "127.0.0.1:0" });
  EXPECT_TRUE(gone.Init());
  gone.Shutdown();
  EXPECT_EQ(CodeOf([&]() {
              return client_.Call(gone.Address(), { { "type", "Echo" } }, milliseconds(100));
            }),
            PeerError::Code::Unreachable);
}

// Guards against a peer that stays unreachable after its process was restarted.
TEST_F(NngPeerLinkTest, ReconnectsAfterARestart)
{
  EXPECT_TRUE(Call({ { "type", "Echo" }, { "text", "a" } }));
  const std::string address = server_.Address();
  server_.Shutdown();
  NngPeerLink next(PeerLinkSettings{ .listen_ = address });
  next.Handle("Echo", [](const json&) -> leaf::result<json> { return json::object(); });
  ASSERT_TRUE(next.Init());
  EXPECT_TRUE(client_.Call(address, { { "type", "Echo" } }, kTimeout));
}

// REFUSED: nng sent a request again to the next process at the address, and its reply counted as
// that of the process that had handled the request.
TEST_F(NngPeerLinkTest, ReplyOfARestartedPeerIsNotThatOfTheFirst)
{
  const std::string address = server_.Address();
  const auto isPending = [this] {
    const std::lock_guard lock(mutex_);
    return !pendingReplies_.empty();
  };
  auto code = std::async(std::launch::async, [&] {
    return CodeOf([&] { return Call({ { "type", "Later" } }); });
  });
  for (int turn = 0; turn < 200 && !isPending(); ++turn) {
    std::this_thread::sleep_for(milliseconds(10));
  }
  ASSERT_TRUE(isPending());
  server_.Shutdown();
  NngPeerLink next(PeerLinkSettings{ .listen_ = address });
  next.Handle("Later", [](const json&) -> leaf::result<json> { return json::object(); });
  ASSERT_TRUE(next.Init());
  EXPECT_EQ(code.get(), PeerError::Code::Timeout);
}

// An entry host must reach its leader again by a new connection if the open one goes silent without
// an end. LOST: two of six hosts refused all requests for the rest of the day, since nng noticed
// nothing.
TEST_F(NngPeerLinkTest, CallsOverANewConnectionAfterSilence)
{
  for (const SilentDirection direction :
       { SilentDirection::Both, SilentDirection::Requests, SilentDirection::Replies }) {
    SilencingProxy proxy(server_.Address());
    const auto call = [&](milliseconds aTimeout) {
      return client_.Call(proxy.Address(), { { "type", "Echo" }, { "text", "a" } }, aTimeout);
    };
    ASSERT_TRUE(call(kTimeout));
    proxy.Silence(direction);
    const auto begin = std::chrono::steady_clock::now();
    EXPECT_EQ(CodeOf([&] { return call(milliseconds(300)); }), PeerError::Code::Timeout);
    EXPECT_TRUE(call(kTimeout));
    EXPECT_LT(std::chrono::steady_clock::now() - begin, kTimeout);
    EXPECT_EQ(proxy.Connections(), 2U);
  }
  EXPECT_EQ(client_.Counters().connectionsReplaced_, 3U);
}

// A reply that takes long must not cost the connection while others arrive over it.
TEST_F(NngPeerLinkTest, KeepsTheConnectionOfASlowReplyWhileOthersArrive)
{
  SilencingProxy proxy(server_.Address());
  std::thread slow([&] {
    EXPECT_FALSE(client_.Call(proxy.Address(), { { "type", "Later" } }, milliseconds(600)));
  });
  std::this_thread::sleep_for(milliseconds(200));
  EXPECT_TRUE(client_.Call(proxy.Address(), { { "type", "Echo" }, { "text", "a" } }, kTimeout));
  slow.join();
  EXPECT_TRUE(client_.Call(proxy.Address(), { { "type", "Echo" }, { "text", "b" } }, kTimeout));
  EXPECT_EQ(proxy.Connections(), 1U);
}

}
}
