#include "backend_client.h"
#include "raw_server.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace sardinespoke {
namespace {

using std::chrono::milliseconds;

// LOST: on a leader at its processor limit, the poll with the lease of a backend server waited
// behind the starts sent there in one go, and all of them lapsed 1.5 s after they had begun.
TEST(LeaseCallOrderTest, PollWithALeaseGoesAheadOfQueuedStarts)
{
  std::atomic<bool> held{ true };
  RawServer server([&held](const std::string&, size_t) {
    RawReply reply{ RawResponse(R"({"clock-ms":1,"running":[],"ended":[]})") };
    reply.holdWhile_ = [&held] { return held.load(); };
    return reply;
  });
  HttpMulti http;
  platform::BackendClient client(http, "127.0.0.1:1", "", "entry");
  const BackendAddress to{ "backend-0", server.Address() };
  constexpr size_t kStarts = 12;
  size_t answered = 0;
  for (size_t index = 0; index < kStarts; ++index) {
    StartCommand start;
    start.to_ = to;
    start.run_ = RunId{ "00000000000000b1.0.0." + std::to_string(index), 1 };
    client.Start(start, [&answered](const CommandResult&) { ++answered; });
  }
  PollCommand poll;
  poll.to_ = to;
  poll.deadline_ = 4500;
  client.Poll(poll, [&answered](const PollResult&) { ++answered; });
  const auto end = std::chrono::steady_clock::now() + milliseconds(5000);
  while (answered <= kStarts && std::chrono::steady_clock::now() < end) {
    http.Run(milliseconds(10));
    held = held && server.Requests().size() < 3;
  }
  const std::vector<std::string> requests = server.Requests();
  const auto polled =
    std::find_if(requests.begin(), requests.end(), [](const std::string& aRequest) {
      return aRequest.find("/hold") != std::string::npos;
    });
  ASSERT_NE(polled, requests.end());
  // The starts that had a connection, and one that may have been sent beside it.
  EXPECT_LE(polled - requests.begin(), 5);
}

}
}
