#include "sardinespoke/platform_client.h"

#include "platform_server.h"
#include "sardinespoke/steady_clock.h"
#include "scripted_server.h"
#include "store_code.h"

#include <gtest/gtest.h>

#include <array>
#include <thread>

namespace sardinespoke {
namespace {

using namespace std::chrono_literals;
using Code = StoreError::Code;

class PlatformClientTest : public ::testing::Test
{
protected:
  void SetUp() override { ASSERT_TRUE(server_.Init("127.0.0.1", 0)); }

  PlatformClientOptions Options(const std::string& aName) const
  {
    return { "http://127.0.0.1:" + std::to_string(server_.Port()), aName, 300ms, 2000ms };
  }

  SteadyClock clock_;
  MemoryPlatform platform_{ clock_ };
  PlatformServer server_{ platform_ };
};

// Guards against keys and values altered by the URL and JSON encoding.
TEST_F(PlatformClientTest, KeysAndValuesRoundTrip)
{
  PlatformClient client(Options("a"));
  const std::string key = "sardinespoke/entry/a b%2F?&=+#../\u00e4";
  const std::string value = "{\"x\": \"\u00e4\\n\"}";
  const uint64_t version = client.Put(key, value, 0, {}).value();
  EXPECT_EQ(platform_.Get(key).value().value_, value);
  const KeyValueItem item = client.Get(key).value();
  EXPECT_EQ(item.key_, key);
  EXPECT_EQ(item.value_, value);
  EXPECT_EQ(item.version_, version);
  const KeyValueRange range = client.Range("sardinespoke/entry/a b%2F?&").value();
  EXPECT_EQ(range.items_.size(), 1U);
  ASSERT_TRUE(client.Delete(key, version));
  const KeyValueChanges changes = client.Watch("sardinespoke/", range.sequence_, 60s).value();
  EXPECT_EQ(changes.deleted_, std::vector<std::string>{ key });
  EXPECT_EQ(changes.sequence_, range.sequence_ + 1);
}

// Guards against a status code that is reported as the wrong error.
TEST_F(PlatformClientTest, MapsStatusCodesToErrors)
{
  PlatformClient client(Options("a"));
  EXPECT_EQ(CodeOf([&] { return client.Get("a"); }), Code::NotFound);
  EXPECT_EQ(CodeOf([&] { return client.Put("a", "1", 7, {}); }), Code::Conflict);
  EXPECT_EQ(CodeOf([&] { return client.Put("a", "1", 0, "gone"); }), Code::LeaseLapsed);
  EXPECT_EQ(CodeOf([&] { return client.Delete("a", 1); }), Code::Conflict);
  EXPECT_EQ(CodeOf([&] { return client.Watch("", 99, 0ms); }), Code::SequenceLost);
  EXPECT_EQ(CodeOf([&] { return client.RenewLease("gone"); }), Code::LeaseLapsed);
  EXPECT_EQ(CodeOf([&] { return client.Reboot("gone"); }), Code::NotFound);
  const std::string large(MemoryPlatform::kMaxValueBytes + 1, 'x');
  EXPECT_EQ(CodeOf([&] { return client.Put("a", large, 0, {}); }), Code::TooLarge);
  const std::string largest(MemoryPlatform::kMaxValueBytes, 'x');
  EXPECT_TRUE(client.Put("a", largest, 0, {}));
}

// Guards against a cached host list that hides a change, or that a failed call overwrites.
TEST_F(PlatformClientTest, HostListCacheFollowsChanges)
{
  PlatformClient client(Options("a"));
  EXPECT_TRUE(client.Fetch().value().hosts_.empty());
  platform_.AddHost({ "h1", "127.0.0.1:1", "r1", "z1", "g1", false });
  for (int count = 0; count < 3; ++count) {
    ASSERT_EQ(client.Fetch().value().hosts_.size(), 1U);
    EXPECT_FALSE(client.Fetch().value().hosts_.at(0).leaving_);
  }
  platform_.MarkLeaving("h1");
  EXPECT_TRUE(client.Fetch().value().hosts_.at(0).leaving_);
  platform_.ChangeFaults([](PlatformFaults& aFaults) { aFaults.hostListDown_ = true; });
  EXPECT_FALSE(client.Fetch());
  platform_.ChangeFaults([](PlatformFaults& aFaults) { aFaults.hostListDown_ = false; });
  EXPECT_TRUE(client.Fetch().value().hosts_.at(0).leaving_);
  platform_.RemoveHost("h1");
  EXPECT_TRUE(client.Fetch().value().hosts_.empty());
}

// Guards against lease, host list and host control calls that do not reach the platform.
TEST_F(PlatformClientTest, LeaseAndHostCallsReachThePlatform)
{
  PlatformClient client(Options("a"));
  const std::string lease = client.GrantLease(1h).value();
  ASSERT_TRUE(client.Put("a", "1", 0, lease));
  ASSERT_TRUE(client.RenewLease(lease));
  ASSERT_TRUE(client.RevokeLease(lease));
  EXPECT_EQ(CodeOf([&] { return platform_.Get("a"); }), Code::NotFound);
  platform_.AddHost({ "h1", "127.0.0.1:1", "r1", "z1", "g1", true });
  const ListedHost host = client.Fetch().value().hosts_.at(0);
  EXPECT_EQ(host.id_ + host.address_ + host.rack_ + host.zone_ + host.region_,
            "h1127.0.0.1:1r1z1g1");
  EXPECT_TRUE(host.leaving_);
  ASSERT_TRUE(client.Reboot("h1"));
  EXPECT_EQ(client.Power("h1").value().state_, HostPower::State::Rebooting);
}

// Guards against reporting a write without effect as possibly done, and the reverse.
TEST_F(PlatformClientTest, UnreachableAndOutcomeUnknownAreDistinct)
{
  PlatformClient client(Options("a"));
  platform_.ChangeFaults([](PlatformFaults& aFaults) { aFaults.storeDown_ = true; });
  EXPECT_EQ(CodeOf([&] { return client.Put("a", "1", 0, {}); }), Code::Unreachable);
  platform_.SetFaults({});
  platform_.ChangeFaults([](PlatformFaults& aFaults) { aFaults.loseWriteResponses_ = 1; });
  EXPECT_EQ(CodeOf([&] { return client.Put("a", "1", 0, {}); }), Code::OutcomeUnknown);
  EXPECT_EQ(client.Get("a").value().value_, "1");
  platform_.ChangeFaults([](PlatformFaults& aFaults) { aFaults.cutOffClients_ = { "a" }; });
  EXPECT_EQ(CodeOf([&] { return client.Put("b", "1", 0, {}); }), Code::OutcomeUnknown);
  EXPECT_EQ(CodeOf([&] { return platform_.Get("b"); }), Code::NotFound);
  server_.Shutdown();
  EXPECT_EQ(CodeOf([&] { return client.Put("c", "1", 0, {}); }), Code::Unreachable);
}

// Guards against reporting a timed-out write as one without effect.
TEST_F(PlatformClientTest, TimedOutWriteHasUnknownOutcome)
{
  PlatformClientOptions options = Options("a");
  options.callTimeout_ = 50ms;
  PlatformClient client(options);
  platform_.ChangeFaults([](PlatformFaults& aFaults) { aFaults.callDelay_ = 300ms; });
  EXPECT_EQ(CodeOf([&] { return client.Put("a", "1", 0, {}); }), Code::OutcomeUnknown);
  platform_.SetFaults({});
  server_.Shutdown(); // Waits until the delayed call has finished.
  EXPECT_EQ(platform_.Get("a").value().value_, "1");
}

// Guards against a pending watch that blocks other calls of the same client.
TEST_F(PlatformClientTest, PendingWatchesDoNotBlockOtherCalls)
{
  PlatformClient client(Options("a"));
  std::array<std::thread, 4> watchers;
  for (std::thread& watcher : watchers) {
    watcher =
      std::thread([&] { EXPECT_EQ(client.Watch("a", 0, 60s).value().items_.at(0).value_, "1"); });
  }
  while (platform_.Calls().watches_ < 4) {
    std::this_thread::yield();
  }
  EXPECT_TRUE(client.Put("b", "1", 0, {}));
  EXPECT_TRUE(client.Put("a", "1", 0, {}));
  for (std::thread& watcher : watchers) {
    watcher.join();
  }
  EXPECT_EQ(platform_.Calls().watches_, 4U);
}

// Guards against libcurl resending a write after the server closed the persistent connection.
TEST(PlatformClientConnections, WriteIsSentOnce)
{
  const std::string reply = ScriptedServer::Reply(200, R"({"version": 1})");
  ScriptedServer server({ reply, "", reply });
  PlatformClient client({ server.Url(), "a", 300ms, 2000ms });
  ASSERT_TRUE(client.Put("a", "1", 0, {}));
  EXPECT_EQ(CodeOf([&] { return client.Put("a", "2", 1, {}); }), Code::OutcomeUnknown);
  EXPECT_EQ(server.Requests(), 2U);
}

// Guards against reporting a write with a malformed response as successful or without effect.
TEST(PlatformClientConnections, MalformedResponseLeavesWriteOutcomeUnknown)
{
  ScriptedServer server({ ScriptedServer::Reply(200, "<html>"),
                          ScriptedServer::Reply(500, ""),
                          ScriptedServer::Reply(200, R"({"version": "x"})"),
                          ScriptedServer::Reply(200, R"({"key": "a"})"),
                          "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{\"version\": 1}" });
  PlatformClient client({ server.Url(), "a", 300ms, 200ms });
  EXPECT_EQ(CodeOf([&] { return client.Put("a", "1", 0, {}); }), Code::OutcomeUnknown);
  EXPECT_EQ(CodeOf([&] { return client.Put("a", "1", 0, {}); }), Code::OutcomeUnknown);
  EXPECT_EQ(CodeOf([&] { return client.Put("a", "1", 0, {}); }), Code::OutcomeUnknown);
  EXPECT_EQ(CodeOf([&] { return client.Get("a"); }), Code::Malformed);
  EXPECT_EQ(CodeOf([&] { return client.Put("a", "1", 0, {}); }), Code::OutcomeUnknown);
}

}
}
