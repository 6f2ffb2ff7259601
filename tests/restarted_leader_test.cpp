#include "no_commands.h"
#include "raw_server.h"

#include "json_fields.h"
#include "plain_fleet_format.h"
#include "sardinespoke/entry_node.h"
#include "sardinespoke/steady_clock.h"
#include "store_client.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <future>
#include <unistd.h>

namespace sardinespoke {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr char kLeaderKey[] = "leader";

class UndecodedCodec final : public CallerCodecI
{
public:
  std::string TimeoutHeader() const override { return "patience"; }
  JobRequest Decode(const CallerCall&) const override { return JobRequest(); }
  CallerReply Encode(const JobResponse&) const override { return CallerReply(); }
};

/// An entry host that is not the leader, with a scripted leader and store.
class RestartedLeaderTest : public testing::Test
{
protected:
  RestartedLeaderTest()
    : store_([this](const std::string& aRequest, size_t) { return StoreReply(aRequest); })
    , storeClient_(http_, store_.Address())
  {
  }

  ~RestartedLeaderTest() override { stopping_ = true; }

  void StartNode()
  {
    EntryNodeSettings settings;
    settings.caller_ = Endpoint{ Address(), kCallerPort };
    settings.health_ = Endpoint{ Address(), kCallerPort + 1 };
    settings.leadership_.name_ = "follower";
    settings.leadership_.address_ = Address() + ":24633";
    settings.leadership_.key_ = kLeaderKey;
    node_ = std::make_unique<EntryNode>(
      settings, http_, storeClient_, commands_, format_, codec_, clock_);
    const bool started = leaf::try_handle_all(
      [&]() -> leaf::result<bool> {
        BOOST_LEAF_CHECK(node_->Init());
        return true;
      },
      [] { return false; });
    ASSERT_TRUE(started);
  }

  /// Starts a process of the leader, in place of the last one.
  void StartLeader(NngPeerLink::AsyncHandler aOnCall)
  {
    if (leader_) {
      leader_->Shutdown();
    }
    leader_ = std::make_unique<NngPeerLink>(PeerLinkSettings{ LeaderAddress() });
    leader_->Handle("owner.ping", [](const json&) -> leaf::result<json> {
      return json{ { "ready", true } };
    });
    leader_->HandleAsync("job.call", std::move(aOnCall));
    ASSERT_TRUE(leader_->Init());
  }

  /// @returns A loopback address of this process, since tests run in parallel.
  static std::string Address()
  {
    const auto process = static_cast<unsigned int>(getpid());
    return "127.62." + std::to_string(process / 250 % 250) + "." +
           std::to_string(process % 250 + 1);
  }

  static std::string LeaderAddress() { return Address() + ":24634"; }

  static std::string Send(const std::string& aMethod)
  {
    return RawCall(Address() + ":" + std::to_string(kCallerPort),
                   aMethod + " /queue/0000000000000001 HTTP/1.1\r\nHost: callers\r\n" +
                     "patience: 3000\r\nContent-Length: 2\r\n\r\n{}");
  }

  /// Sends a request that reaches a leader, which is then replaced by its next process.
  /// @param aReply Of the next process.
  /// @returns The answer to the caller.
  std::string SendAcrossARestart(const std::string& aMethod, const json& aReply)
  {
    std::promise<void> reached;
    StartLeader([&](const json&, const NngPeerLink::Reply&) { reached.set_value(); });
    StartNode();
    auto answer = std::async(std::launch::async, &RestartedLeaderTest::Send, aMethod);
    EXPECT_EQ(reached.get_future().wait_for(milliseconds(2000)), std::future_status::ready);
    StartLeader([aReply](const json&, const NngPeerLink::Reply& aSend) { aSend(aReply); });
    return answer.get();
  }

  static json OwnerReply(int aStatus)
  {
    return { { "owner", true }, { "status", aStatus }, { "body", "{}" }, { "retry_after_ms", 0 } };
  }

  RawReply StoreReply(const std::string& aRequest) const
  {
    if (aRequest.find("/kv-watch") != std::string::npos) {
      RawReply reply{ RawResponse(R"({"events":[],"current-rev":5})") };
      reply.holdWhile_ = [this] { return !stopping_; };
      return reply;
    }
    const std::string leader = json{
      { "name", "leader" }, { "incarnation", "first" }, { "address", LeaderAddress() }
    }.dump();
    const json item{ { "key", kLeaderKey },
                     { "value", platform::EncodeBase64(leader) },
                     { "rev", 5 },
                     { "created", 5 },
                     { "lease", 7 } };
    return RawReply{ RawResponse(json{ { "items", { item } }, { "current-rev", 5 } }.dump()) };
  }

  static constexpr uint16_t kCallerPort = 24631;
  std::atomic<bool> stopping_{ false };
  HttpMulti http_;
  RawServer store_;
  platform::StoreClient storeClient_;
  NoCommands commands_;
  PlainFleetFormat format_;
  UndecodedCodec codec_;
  SteadyClock clock_;
  std::unique_ptr<NngPeerLink> leader_;
  std::unique_ptr<EntryNode> node_;
};

// REFUSED: a leader stored a job and was killed; its next process, which did not lead, got the
// request again, and the caller heard that the job had not run.
TEST_F(RestartedLeaderTest, RequestThatReachedTheLastProcessIsNotRefused)
{
  EXPECT_EQ(SendAcrossARestart("POST", { { "owner", false } }).rfind("HTTP/1.1 504", 0), 0U);
}

// REFUSED: a route dropped meanwhile tells nothing about a job that the last process stored.
TEST_F(RestartedLeaderTest, DroppedRouteDoesNotDenyAnEarlierAttempt)
{
  EXPECT_EQ(SendAcrossARestart("POST", OwnerReply(404)).rfind("HTTP/1.1 504", 0), 0U);
}

// A request whose outcome the last process took with it is sent to the next leader by its id.
TEST_F(RestartedLeaderTest, RequestWithoutAnAnswerIsRepeatedAtTheNextProcess)
{
  EXPECT_EQ(SendAcrossARestart("POST", OwnerReply(200)).rfind("HTTP/1.1 200", 0), 0U);
}

// A request for a state has no effect, so that it need not wait for a leader that knows its fate.
TEST_F(RestartedLeaderTest, StateIsRefusedAfterTheElectionTimeout)
{
  const auto begin = std::chrono::steady_clock::now();
  EXPECT_EQ(SendAcrossARestart("GET", { { "owner", false } }).rfind("HTTP/1.1 503", 0), 0U);
  EXPECT_LT(std::chrono::steady_clock::now() - begin, milliseconds(1500));
}

// A state was refused after one attempt over a connection that had gone silent, so that callers
// learned late of jobs that were done.
TEST_F(RestartedLeaderTest, StateIsAskedForAgainAfterAnAttemptWithoutAnAnswer)
{
  std::atomic<int> calls{ 0 };
  StartLeader([&calls](const json&, const NngPeerLink::Reply& aReply) {
    if (++calls > 1) {
      aReply(OwnerReply(200));
    }
  });
  StartNode();
  EXPECT_EQ(Send("GET").rfind("HTTP/1.1 200", 0), 0U);
}

// A leader that refuses has not run the request, and the caller must hear so.
TEST_F(RestartedLeaderTest, RefusalOfTheLeaderIsPassedOn)
{
  StartLeader([](const json&, const NngPeerLink::Reply& aReply) {
    aReply(json{ { "owner", false } });
  });
  StartNode();
  EXPECT_EQ(Send("POST").rfind("HTTP/1.1 503", 0), 0U);
}

}
}
