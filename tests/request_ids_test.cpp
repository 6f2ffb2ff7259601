#include "fake_peer_network.h"
#include "sardinespoke/manual_clock.h"
#include "sardinespoke/peer_request_claims.h"

#include <gtest/gtest.h>

namespace sardinespoke {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;

BackendResponse
MakeResponse(size_t aSize)
{
  return { 200, { { "A", "b" } }, std::string(aSize, '\xff') };
}

class RequestIdTableTest : public ::testing::Test
{
protected:
  ClaimState Claim(RequestIdTable& aTable, const std::string& aId, const std::string& aNonce)
  {
    return aTable.Claim(*RequestId::Parse(aId), aNonce, clock_.Now()).state_;
  }

  ManualClock clock_;
};

// Guards against accepting ids that are not in canonical form or were not issued here.
TEST_F(RequestIdTableTest, ParsesOnlyCanonicalIds)
{
  for (const char* text : { "",
                            ".",
                            "..",
                            "a.b",
                            "a..1",
                            ".b.1",
                            "a.b.",
                            "a.b.x",
                            "a.b.-1",
                            "a.b.01",
                            "a.b.1 ",
                            "a.b.99999999999999999999" }) {
    EXPECT_FALSE(RequestId::Parse(text)) << text;
  }
  EXPECT_EQ(RequestId::Parse("host.with.dots.p1.7")->issuer_, "host.with.dots");
  RequestIdTable table("e1", "p1");
  table.Issue(2, clock_.Now());
  EXPECT_EQ(Claim(table, "e1.p1.3", "n"), ClaimState::Malformed);
  EXPECT_EQ(Claim(table, "e1.p1.0", "n"), ClaimState::Malformed);
  EXPECT_EQ(Claim(table, "e1.p0.1", "n"), ClaimState::Unknown);
}

// Guards against a second run of a request caused by a concurrent, duplicate or late message (P5).
TEST_F(RequestIdTableTest, OneAttemptHoldsTheClaim)
{
  RequestIdTable table("e1", "p1");
  const std::string id = table.Issue(1, clock_.Now()).at(0);
  const RequestId parsed = *RequestId::Parse(id);
  EXPECT_EQ(Claim(table, id, "n1"), ClaimState::Granted);
  EXPECT_EQ(Claim(table, id, "n1"), ClaimState::Granted);
  EXPECT_EQ(Claim(table, id, "n2"), ClaimState::Running);
  table.Finish(parsed, "n2", ClaimResult::NotRun, std::nullopt, clock_.Now());
  EXPECT_EQ(Claim(table, id, "n3"), ClaimState::Running);
  table.Finish(parsed, "n1", ClaimResult::NotRun, std::nullopt, clock_.Now());
  EXPECT_EQ(Claim(table, id, "n1"), ClaimState::Unknown);
  EXPECT_EQ(Claim(table, id, "n3"), ClaimState::Granted);
  table.Finish(parsed, "n1", ClaimResult::Ran, MakeResponse(1), clock_.Now());
  EXPECT_EQ(Claim(table, id, "n4"), ClaimState::Running);
  table.Finish(parsed, "n3", ClaimResult::Ran, MakeResponse(1), clock_.Now());
  EXPECT_EQ(table.Claim(parsed, "n4", clock_.Now()).response_->body_, "\xff");
}

// Guards against unbounded memory, and against an evicted id that can be claimed again.
TEST_F(RequestIdTableTest, IsBoundedByCountAgeAndBytes)
{
  RequestIdTable table("e1", "p1", { .maxIds_ = 100, .maxTotalBytes_ = 50000 });
  const std::vector<std::string> ids = table.Issue(101, clock_.Now());
  EXPECT_EQ(table.Size(), 100U);
  EXPECT_EQ(Claim(table, ids[0], "n"), ClaimState::Unknown);
  for (size_t index = 1; index < 20; ++index) {
    EXPECT_EQ(Claim(table, ids[index], "n"), ClaimState::Granted);
    table.Finish(*RequestId::Parse(ids[index]),
                 "n",
                 ClaimResult::Ran,
                 MakeResponse(index == 19 ? 17 << 10 : 10000),
                 clock_.Now());
  }
  EXPECT_LE(table.CachedResponseBytes(), 50000U);
  EXPECT_FALSE(table.Claim(*RequestId::Parse(ids[1]), "n", clock_.Now()).response_);
  EXPECT_TRUE(table.Claim(*RequestId::Parse(ids[18]), "n", clock_.Now()).response_);
  EXPECT_FALSE(table.Claim(*RequestId::Parse(ids[19]), "n", clock_.Now()).response_);
  clock_.Advance(minutes(10));
  EXPECT_EQ(Claim(table, ids[50], "n"), ClaimState::Unknown);
  EXPECT_EQ(table.Size() + table.CachedResponseBytes(), 0U);
}

class PeerRequestClaimsTest : public ::testing::Test
{
protected:
  PeerRequestClaimsTest()
    : linkOne_(network_.Connect("a1"))
    , linkTwo_(network_.Connect("a2"))
    , one_(std::make_unique<PeerRequestClaims>("e1", "p1", *linkOne_, clock_, directory_))
    , two_("e2", "p2", *linkTwo_, clock_, directory_)
  {
  }

  const PeerDirectory directory_{ [](const std::string& aId) {
                                   return aId == "e1" ? "a1" : aId == "e2" ? "a2" : "";
                                 },
                                  [](const std::string& aId) {
                                    return aId == "e1" || aId == "e2";
                                  } };
  ManualClock clock_;
  FakePeerNetwork network_;
  std::unique_ptr<PeerLinkI> linkOne_;
  std::unique_ptr<PeerLinkI> linkTwo_;
  std::unique_ptr<PeerRequestClaims> one_;
  PeerRequestClaims two_;
};

// Guards against an id that runs at two entry hosts, and against a response altered in transit.
TEST_F(PeerRequestClaimsTest, IdClaimedAtTwoEntryHostsRunsOnce)
{
  network_.SetDuplicateDelivery(true);
  const std::string id = one_->Issue(1).at(0);
  EXPECT_EQ(two_.Claim(id).state_, ClaimState::Granted);
  EXPECT_EQ(one_->Claim(id).state_, ClaimState::Running);
  two_.Finish(id, ClaimResult::NotRun, std::nullopt);
  EXPECT_EQ(one_->Claim(id).state_, ClaimState::Granted);
  EXPECT_EQ(two_.Claim(id).state_, ClaimState::Running);
  one_->Finish(id, ClaimResult::Ran, MakeResponse(100));
  const ClaimReply reply = two_.Claim(id);
  EXPECT_EQ(reply.state_, ClaimState::Finished);
  EXPECT_EQ(reply.response_->body_, MakeResponse(100).body_);
  EXPECT_EQ(reply.response_->headers_, MakeResponse(100).headers_);
}

// Guards against an id that stays claimed by an attempt that never learned of its claim.
TEST_F(PeerRequestClaimsTest, RetriesClaimAfterLostReply)
{
  const std::string id = one_->Issue(1).at(0);
  network_.DropReplies(1);
  EXPECT_EQ(two_.Claim(id).state_, ClaimState::Granted);
  two_.Finish(id, ClaimResult::NotRun, std::nullopt);
  network_.DropReplies(2);
  EXPECT_EQ(two_.Claim(id).state_, ClaimState::Unknown);
  EXPECT_EQ(two_.Claim(id).state_, ClaimState::Granted);
}

// Guards against running a request whose issuer cannot tell whether it ran before.
TEST_F(PeerRequestClaimsTest, UnreachableOrReplacedIssuerMeansUnknown)
{
  const std::string id = one_->Issue(1).at(0);
  network_.Isolate("a1");
  EXPECT_EQ(two_.Claim(id).state_, ClaimState::Unknown);
  network_.Isolate("a1", false);
  one_ = std::make_unique<PeerRequestClaims>("e1", "p9", *linkOne_, clock_, directory_);
  one_->Issue(5);
  EXPECT_EQ(two_.Claim(id).state_, ClaimState::Unknown);
  EXPECT_EQ(two_.Claim("e7.p1.1").state_, ClaimState::Unknown);
  EXPECT_EQ(two_.Claim("nonsense").state_, ClaimState::Malformed);
}

}
}
