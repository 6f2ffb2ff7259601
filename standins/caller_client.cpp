#include "caller_client.h"

#include "answer_body.h"
#include "run_record.h"

#include <nlohmann/json.hpp>

#include <array>
#include <thread>
#include <utility>

namespace sardinespoke {

namespace {

constexpr uint32_t kIdsPerCall = 200;
constexpr size_t kMaxConnections = 1024;

CurlLinkSettings
LinkSettings()
{
  CurlLinkSettings settings;
  settings.connectionsPerHost_ = kMaxConnections;
  settings.maxResponseBytes_ = 16 * 1024 * 1024;
  return settings;
}

/// @returns The outcome header of a response. Entry hosts always send it; without it the outcome is
/// unknown.
HistoryType
OutcomeOf(const BackendResponse& aAnswer)
{
  constexpr std::array<HistoryType, 4> kEnds{
    HistoryType::Ok, HistoryType::NotRun, HistoryType::Unknown, HistoryType::AlreadyRun
  };
  for (const auto& [name, value] : aAnswer.headers_) {
    if (name != "Sardinespoke-Outcome") {
      continue;
    }
    for (const HistoryType end : kEnds) {
      if (value == HistoryTypeName(end)) {
        return end;
      }
    }
  }
  return HistoryType::Unknown;
}

}

CallerClient::CallerClient(ClientSettings aSettings)
  : settings_(std::move(aSettings))
  , link_(LinkSettings())
{
}

size_t
CallerClient::NextTarget(size_t aPrevious, Random& aRandom) const
{
  const size_t count = settings_.targets_.size();
  if (aPrevious >= count) {
    return aRandom() % count;
  }
  return count == 1 ? 0 : (aPrevious + 1 + aRandom() % (count - 1)) % count;
}

CallerClient::SendResult
CallerClient::Send(const BackendRequest& aRequest)
{
  return leaf::try_handle_all(
    [&]() -> leaf::result<SendResult> {
      BOOST_LEAF_AUTO(answer, link_.Send(aRequest));
      SendResult done;
      done.type_ = OutcomeOf(answer);
      done.answer_ = std::move(answer);
      return done;
    },
    [](const BackendError& aError) {
      SendResult failed;
      failed.connected_ = aError.code_ != BackendError::Code::NotSent;
      return failed;
    },
    [] { return SendResult{}; });
}

std::string
CallerClient::TakeRequestId(Random& aRandom)
{
  const std::lock_guard lock(idMutex_);
  size_t target = settings_.targets_.size();
  for (uint32_t round = 0; ids_.empty() && round < settings_.tries_; ++round) {
    target = NextTarget(target, aRandom);
    BackendRequest request;
    request.address_ = settings_.targets_[target];
    request.method_ = "POST";
    request.path_ = "/v1/request-ids?count=" + std::to_string(kIdsPerCall);
    request.timeout_ = std::chrono::seconds(2);
    const SendResult issued = Send(request);
    if (issued.type_ != HistoryType::Ok) {
      continue;
    }
    const auto body = nlohmann::json::parse(issued.answer_.body_, nullptr, false);
    if (!body.is_discarded() && body.contains("ids")) {
      ids_ = body.at("ids").get<std::deque<std::string>>();
    }
  }
  if (ids_.empty()) {
    return {};
  }
  std::string id = std::move(ids_.front());
  ids_.pop_front();
  return id;
}

CallerClient::SendResult
CallerClient::SendTo(const std::string& aTarget,
                     const ClientRequest& aRequest,
                     const std::string& aRequestId)
{
  BackendRequest request;
  request.address_ = aTarget;
  request.method_ = aRequest.idempotent_ ? "GET" : "POST";
  request.path_ = "/v1/services/" + aRequest.service_ +
                  "/work?ms=" + std::to_string(aRequest.runTime_.count()) +
                  "&bytes=" + std::to_string(aRequest.responseBytes_) + "&nonce=" + aRequest.nonce_;
  if (!aRequestId.empty()) {
    request.headers_.emplace_back("Sardinespoke-Request-Id", aRequestId);
  }
  if (settings_.deadline_.count() > 0) {
    request.headers_.emplace_back("Sardinespoke-Deadline-Ms",
                                  std::to_string(settings_.deadline_.count()));
  }
  request.timeout_ = settings_.timeout_;
  return Send(request);
}

HistoryLine
CallerClient::Call(const ClientRequest& aRequest, Random& aRandom)
{
  HistoryLine end;
  end.type_ = HistoryType::NotRun;
  end.nonce_ = aRequest.nonce_;
  end.service_ = aRequest.service_;
  end.idempotent_ = aRequest.idempotent_;
  if (!aRequest.idempotent_) {
    end.requestId_ = TakeRequestId(aRandom);
  }
  const bool canSend = aRequest.idempotent_ || !end.requestId_.empty();
  bool mayHaveRun = false;
  size_t target = settings_.targets_.size();
  while (canSend && end.tries_ < settings_.tries_) {
    target = NextTarget(target, aRandom);
    ++end.tries_;
    const SendResult done = SendTo(settings_.targets_[target], aRequest, end.requestId_);
    if (!done.connected_) {
      continue;
    }
    end.type_ = done.type_;
    end.status_ = done.answer_.status_;
    if (done.type_ == HistoryType::Ok) {
      const bool right =
        done.answer_.body_ == MakeResponseBody(aRequest.nonce_, aRequest.responseBytes_);
      end.answer_ = right ? ResponseCheck::Right : ResponseCheck::Wrong;
    }
    if (done.type_ != HistoryType::Unknown) {
      break;
    }
    mayHaveRun = true;
    std::this_thread::sleep_for(settings_.retryDelay_);
  }
  if (mayHaveRun && end.type_ == HistoryType::NotRun) {
    // "Not run" describes the last try only; an earlier one may have run.
    end.type_ = HistoryType::Unknown;
  }
  end.timeUs_ = NowUs();
  return end;
}

}
