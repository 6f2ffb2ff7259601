#include "no_commands.h"
#include "raw_server.h"

#include "plain_fleet_format.h"
#include "sardinespoke/entry_node.h"
#include "sardinespoke/steady_clock.h"

#include <gtest/gtest.h>

#include <future>
#include <unistd.h>

namespace sardinespoke {
namespace {

using std::chrono::milliseconds;

/// A store that never responds.
class UnresponsiveStore final : public RecordStoreI
{
public:
  void Range(const std::string&, const std::string&, Done aDone) override { Keep(aDone); }
  void Watch(const std::string&, int64_t, milliseconds, Done aDone) override { Keep(aDone); }
  void Commit(const RecordTransaction&, Done aDone) override { Keep(aDone); }
  void Grant(milliseconds, Done aDone) override { Keep(aDone); }
  void Renew(uint64_t, Done aDone) override { Keep(aDone); }

private:
  void Keep(const Done& aDone) { kept_.push_back(aDone); }

  std::vector<Done> kept_;
};

class PlainCodec final : public CallerCodecI
{
public:
  std::string TimeoutHeader() const override { return "patience"; }
  JobRequest Decode(const CallerCall&) const override { return JobRequest(); }
  CallerReply Encode(const JobResponse&) const override { return CallerReply(); }
};

class EntryNodeTest : public testing::Test
{
protected:
  void Start(milliseconds aServe)
  {
    EntryNodeSettings settings;
    settings.caller_ = Endpoint{ Address(), kCallerPort };
    settings.health_ = Endpoint{ Address(), kHealthPort };
    settings.leadership_.name_ = "entry";
    settings.leadership_.address_ = Address() + ":24613";
    settings.leadership_.key_ = "leader";
    settings.stopGrace_ = aServe;
    node_ =
      std::make_unique<EntryNode>(settings, http_, store_, commands_, format_, codec_, clock_);
    const bool started = leaf::try_handle_all(
      [&]() -> leaf::result<bool> {
        BOOST_LEAF_CHECK(node_->Init());
        return true;
      },
      [] { return false; });
    ASSERT_TRUE(started);
  }

  /// @returns A loopback address of this process, since tests run in parallel.
  static std::string Address()
  {
    const auto process = static_cast<unsigned int>(getpid());
    return "127.61." + std::to_string(process / 250 % 250) + "." +
           std::to_string(process % 250 + 1);
  }

  static std::string SendRequest()
  {
    return RawCall(Address() + ":24611",
                   "GET /queue/0000000000000001 HTTP/1.1\r\nHost: callers\r\n\r\n");
  }

  static constexpr uint16_t kCallerPort = 24611;
  static constexpr uint16_t kHealthPort = 24612;
  HttpMulti http_;
  UnresponsiveStore store_;
  NoCommands commands_;
  PlainFleetFormat format_;
  PlainCodec codec_;
  SteadyClock clock_;
  std::unique_ptr<EntryNode> node_;
};

// Shutdown must not end before the requests in flight have a response.
TEST_F(EntryNodeTest, StopWaitsForRequestsInFlight)
{
  Start(milliseconds(0));
  auto answer = std::async(std::launch::async, &EntryNodeTest::SendRequest);
  std::this_thread::sleep_for(milliseconds(150));
  node_->Shutdown();
  ASSERT_EQ(answer.wait_for(milliseconds(100)), std::future_status::ready);
  EXPECT_NE(answer.get().find("503"), std::string::npos);
}

// Shutdown must not drop requests that arrive in quick succession until its end.
TEST_F(EntryNodeTest, StopWaitsUntilRequestsCease)
{
  Start(milliseconds(0));
  std::atomic<int> answered{ 0 };
  constexpr int kRequests = 6;
  std::thread caller([&]() {
    for (int request = 0; request < kRequests; ++request) {
      answered += SendRequest().find("503") != std::string::npos ? 1 : 0;
      std::this_thread::sleep_for(milliseconds(100));
    }
  });
  node_->Shutdown();
  EXPECT_EQ(answered, kRequests);
  caller.join();
}

// Requests after the serving time must be refused at once instead of being held until SIGKILL.
TEST_F(EntryNodeTest, RefusesAtOnceAfterTheServingTime)
{
  Start(milliseconds(0));
  node_->Shutdown();
  const auto begin = std::chrono::steady_clock::now();
  EXPECT_NE(SendRequest().find("this host stops"), std::string::npos);
  EXPECT_LT(std::chrono::steady_clock::now() - begin, milliseconds(300));
}

}
}
