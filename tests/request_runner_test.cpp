#include "gateway_fakes.h"
#include "request_runner_p.h"
#include "sardinespoke/manual_clock.h"
#include "sardinespoke/retry_budget.h"

#include <gtest/gtest.h>

namespace sardinespoke {
namespace {

using Code = BackendError::Code;

class RequestRunnerTest : public ::testing::Test
{
protected:
  RequestRunnerTest()
  {
    settings_.attemptPrefix_ = "e1.1";
    for (int i = 0; i < 100; ++i) {
      budget_.OnFirstTry();
    }
  }

  CallerResponse Run(bool aIdempotent)
  {
    CallerRequest request;
    request.service_ = "births";
    request.method_ = "POST";
    request.path_ = "/work";
    request.requestId_ = "e1.1.5";
    request.idempotent_ = aIdempotent;
    request.deadline_ = std::chrono::milliseconds(100);
    return runner_.Run(request, cancelled_);
  }

  GatewaySettings settings_;
  ManualClock clock_;
  FakeDispatcher dispatcher_;
  FakeBackendLink backends_;
  FakeClaims claims_;
  RetryBudget budget_;
  NullEventLog events_;
  RequestRunner::CancelFlag cancelled_ = std::make_shared<std::atomic<bool>>(false);
  RequestRunner runner_{ settings_, clock_, dispatcher_, backends_, claims_, budget_, events_ };
};

// Guards against a second run of non-idempotent work after a failure with unknown outcome.
TEST_F(RequestRunnerTest, NonIdempotentWorkIsNotRetriedOnceItMayHaveRun)
{
  for (const Code code : { Code::Incomplete, Code::Timeout, Code::TooLarge }) {
    backends_.steps_ = { FakeBackendLink::Fail(code) };
    backends_.requests_.clear();
    const CallerResponse response = Run(false);
    EXPECT_EQ(response.outcome_, Outcome::Unknown);
    EXPECT_EQ(response.status_, code == Code::Timeout ? 504 : 502);
    EXPECT_EQ(backends_.requests_.size(), 1U);
    EXPECT_EQ(claims_.finished_.back().second, ClaimResult::Unknown);
  }
}

// Guards against giving up on work that definitely did not run: it is retried on another host.
TEST_F(RequestRunnerTest, WorkThatDidNotRunIsRetriedOnAnotherHost)
{
  for (const Code code : { Code::NotSent, Code::Stale, Code::SlotsRefused }) {
    backends_.steps_ = { FakeBackendLink::Fail(code), FakeBackendLink::Respond({ 200, {}, "x" }) };
    backends_.requests_.clear();
    EXPECT_EQ(Run(false).outcome_, Outcome::Ok);
    EXPECT_EQ(backends_.requests_.size(), 2U);
    EXPECT_NE(backends_.requests_[0].headers_, backends_.requests_[1].headers_);
    EXPECT_FALSE(dispatcher_.items_.back().avoidHost_.empty());
    EXPECT_EQ(claims_.finished_.back().second, ClaimResult::Ran);
  }
}

// Guards against reporting "not-run" for idempotent work whose first attempt may have run, when the
// retry gets no slot or cannot connect.
TEST_F(RequestRunnerTest, EarlierAttemptKeepsOutcomeUnknown)
{
  backends_.steps_ = { FakeBackendLink::Fail(Code::Incomplete) };
  dispatcher_.grants_ = 1;
  EXPECT_EQ(Run(true).outcome_, Outcome::Unknown);
  dispatcher_.grants_ = 100;
  backends_.requests_.clear();
  backends_.steps_ = { FakeBackendLink::Fail(Code::Incomplete),
                       FakeBackendLink::Fail(Code::NotSent) };
  EXPECT_EQ(Run(true).outcome_, Outcome::Unknown);
}

// Guards against unlimited retries, and against refused slots counting against the retry budget.
TEST_F(RequestRunnerTest, RetriesAreBounded)
{
  backends_.steps_ = { FakeBackendLink::Fail(Code::SlotsRefused) };
  EXPECT_EQ(Run(false).status_, 503);
  EXPECT_EQ(backends_.requests_.size(), 1U + settings_.maxSlotRefusals_);
  EXPECT_EQ(runner_.Retries(), 0U);
  backends_.requests_.clear();
  backends_.steps_ = { FakeBackendLink::Fail(Code::NotSent) };
  EXPECT_EQ(Run(false).outcome_, Outcome::NotRun);
  EXPECT_EQ(backends_.requests_.size(), settings_.maxAttempts_);
  for (int i = 0; i < 50; ++i) {
    Run(false);
  }
  EXPECT_LE(runner_.Retries(), (100U + 52U) / 10U);
}

// Guards against a retry that starts after the caller's deadline.
TEST_F(RequestRunnerTest, TheDeadlineCoversAllAttempts)
{
  backends_.steps_ = { [this](const BackendRequest& aRequest) {
    clock_.Advance(std::chrono::milliseconds(60));
    return FakeBackendLink::Fail(Code::NotSent)(aRequest);
  } };
  EXPECT_EQ(Run(false).outcome_, Outcome::NotRun);
  ASSERT_EQ(dispatcher_.items_.size(), 2U);
  EXPECT_EQ(dispatcher_.items_[1].deadline_, std::chrono::milliseconds(40));
}

// Guards against starting work for a disconnected caller, and against aborting non-idempotent work,
// whose response determines the state of its request id.
TEST_F(RequestRunnerTest, DisconnectedCallerStartsNothing)
{
  backends_.steps_ = { [this](const BackendRequest& aRequest) -> leaf::result<BackendResponse> {
    *cancelled_ = true;
    EXPECT_FALSE(aRequest.mayStart_());
    EXPECT_EQ(static_cast<bool>(aRequest.cancelled_), aRequest.idempotent_);
    return leaf::new_error(BackendError{ Code::Stale, "" });
  } };
  EXPECT_EQ(Run(false).outcome_, Outcome::NotRun);
  EXPECT_EQ(dispatcher_.results_.back(), AttemptResult::Cancelled);
  EXPECT_EQ(claims_.finished_.back().second, ClaimResult::NotRun);
  *cancelled_ = false;
  EXPECT_EQ(Run(true).outcome_, Outcome::NotRun);
  EXPECT_EQ(backends_.requests_.size(), 2U);
}

// Guards against running a request again whose id has run, is running or may have run.
TEST_F(RequestRunnerTest, KnownRequestIdIsNotRunAgain)
{
  const BackendResponse stored{ 201, {}, "stored" };
  claims_.replies_["e1.1.5"] = { ClaimState::Finished, stored };
  EXPECT_EQ(Run(false).body_, "stored");
  claims_.replies_["e1.1.5"] = { ClaimState::Finished, {} };
  EXPECT_EQ(Run(false).outcome_, Outcome::AlreadyRun);
  for (const ClaimState state : { ClaimState::Running, ClaimState::Unknown }) {
    claims_.replies_["e1.1.5"] = { state, {} };
    const CallerResponse response = Run(false);
    EXPECT_EQ(response.outcome_, Outcome::Unknown);
    EXPECT_EQ(response.status_, 409);
  }
  claims_.replies_["e1.1.5"] = { ClaimState::Malformed, {} };
  EXPECT_EQ(Run(false).outcome_, Outcome::NotRun);
  EXPECT_TRUE(backends_.requests_.empty());
  EXPECT_TRUE(claims_.finished_.empty());
}

// Guards against leaking a slot or a claim when an attempt throws.
TEST_F(RequestRunnerTest, ExceptionReleasesSlotAndClaim)
{
  backends_.steps_ = { [](const BackendRequest&) -> leaf::result<BackendResponse> {
    throw std::runtime_error("prepared");
  } };
  EXPECT_EQ(Run(false).outcome_, Outcome::Unknown);
  EXPECT_EQ(dispatcher_.results_.size(), 1U);
  ASSERT_EQ(claims_.finished_.size(), 1U);
  EXPECT_EQ(claims_.finished_[0].second, ClaimResult::Unknown);
}

// Guards against forwarding hop-by-hop headers, or an outcome set by the backend server, to the
// caller.
TEST_F(RequestRunnerTest, HopByHopHeadersAreNotForwarded)
{
  backends_.steps_ = { FakeBackendLink::Respond({ 500,
                                                  { { "Connection", "close, X-Hop" },
                                                    { "X-Hop", "1" },
                                                    { "Keep-Alive", "5" },
                                                    { "Sardinespoke-Outcome", "not-run" },
                                                    { "Set-Cookie", "a" },
                                                    { "Set-Cookie", "b" } },
                                                  "failed" }) };
  const CallerResponse response = Run(false);
  EXPECT_EQ(response.status_, 500);
  EXPECT_EQ(response.outcome_, Outcome::Ok);
  EXPECT_EQ(response.headers_, (HeaderList{ { "Set-Cookie", "a" }, { "Set-Cookie", "b" } }));
  EXPECT_EQ(dispatcher_.results_.back(), AttemptResult::ServerError);
}

}
}
