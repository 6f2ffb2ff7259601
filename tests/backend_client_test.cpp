#include "backend_client.h"
#include "raw_server.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace sardinespoke::platform {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

/// @returns The result of a poll that lists this many ends.
PollResult
PollWithEnds(int64_t aEnds)
{
  json ends = json::array();
  for (int64_t number = 1; number <= aEnds; ++number) {
    ends.push_back({ number, "00000000000000b1.0.0.0", number, "done", "" });
  }
  const json body{ { "clock-ms", 1000 }, { "running", json::array() }, { "ended", ends } };
  RawServer server([&body](const std::string&, size_t) {
    RawReply reply;
    reply.bytes_ = RawResponse(body.dump());
    return reply;
  });
  HttpMulti http;
  PollResult result;
  bool done = false;
  PollCommand command;
  command.to_ = BackendAddress{ "i-1", server.Address() };
  BackendClient(http, server.Address(), server.Address(), "e-1")
    .Poll(command, [&](const PollResult& aResult) {
      result = aResult;
      done = true;
    });
  for (int turn = 0; turn < 300 && !done; ++turn) {
    http.Run(milliseconds(10));
  }
  EXPECT_EQ(result.outcome_, CommandOutcome::Done);
  return result;
}

// A list of as many ends as a response holds must be taken for cut off, a shorter one not.
TEST(BackendClient, AFullListOfEndsIsCutOff)
{
  EXPECT_FALSE(PollWithEnds(0).hasMoreEnds_);
  EXPECT_FALSE(PollWithEnds(499).hasMoreEnds_);
  EXPECT_TRUE(PollWithEnds(500).hasMoreEnds_);
}

}
}
