#include "sardinespoke/peer_request_claims.h"

#include <algorithm>
#include <array>

namespace sardinespoke {

namespace {

using nlohmann::json;

// A call is retried once with the same nonce, so that a lost reply does not leave an id claimed by
// an attempt that never learned of its claim.
constexpr int kMaxCallAttempts = 2;

constexpr std::array<const char*, static_cast<size_t>(ClaimState::Count)>
  kStateNames{ "granted", "running", "finished", "unknown", "malformed" };
constexpr std::array<const char*, static_cast<size_t>(ClaimResult::Count)> kResultNames{
  "ran",
  "not-run",
  "unknown"
};

/// @returns The enum value with the name; the fallback for a name of another software version.
template<typename Value, size_t Size>
Value
FromName(const std::array<const char*, Size>& aNames, const std::string& aName, Value aFallback)
{
  const auto found = std::find(aNames.begin(), aNames.end(), aName);
  return found == aNames.end() ? aFallback : static_cast<Value>(found - aNames.begin());
}

json
ResponseToJson(const BackendResponse& aResponse)
{
  return { { "status", aResponse.status_ },
           { "headers", aResponse.headers_ },
           { "body", json::binary({ aResponse.body_.begin(), aResponse.body_.end() }) } };
}

BackendResponse
ResponseFromJson(const json& aJson)
{
  const json::binary_t& body = aJson.at("body").get_binary();
  return { aJson.at("status").get<int>(),
           aJson.at("headers").get<HeaderList>(),
           std::string(body.begin(), body.end()) };
}

json
ReplyToJson(const ClaimReply& aReply)
{
  json out{ { "state", kStateNames[static_cast<size_t>(aReply.state_)] } };
  if (aReply.response_) {
    out["answer"] = ResponseToJson(*aReply.response_);
  }
  return out;
}

ClaimReply
ReplyFromJson(const json& aJson)
{
  ClaimReply reply;
  reply.state_ = FromName(kStateNames, aJson.at("state").get<std::string>(), ClaimState::Unknown);
  if (aJson.contains("answer")) {
    reply.response_ = ResponseFromJson(aJson.at("answer"));
  }
  return reply;
}

auto
Refuse(const std::string& aMessage)
{
  return leaf::new_error(PeerError{ PeerError::Code::Refused, aMessage });
}

}

PeerRequestClaims::PeerRequestClaims(std::string aId,
                                     const std::string& aProcess,
                                     PeerLinkI& aPeers,
                                     const ClockI& aClock,
                                     PeerDirectory aDirectory,
                                     RequestIdLimits aLimits)
  : id_(std::move(aId))
  , noncePrefix_(id_ + "." + aProcess + ".")
  , peers_(aPeers)
  , clock_(aClock)
  , directory_(std::move(aDirectory))
  , limits_(aLimits)
  , table_(id_, aProcess, aLimits)
{
  peers_.Handle("Claim", [this](const json& aMessage) { return OnClaim(aMessage); });
  peers_.Handle("ClaimResult", [this](const json& aMessage) { return OnClaimResult(aMessage); });
}

std::vector<std::string>
PeerRequestClaims::Issue(uint32_t aCount)
{
  const std::lock_guard lock(mutex_);
  return table_.Issue(std::min(aCount, kMaxBatch), clock_.Now());
}

ClaimReply
PeerRequestClaims::Claim(const std::string& aId)
{
  const std::optional<RequestId> id = RequestId::Parse(aId);
  if (!id) {
    return { ClaimState::Malformed, std::nullopt };
  }
  const std::string nonce = NextNonce();
  ClaimReply reply = ClaimAtIssuer(*id, nonce);
  if (reply.state_ == ClaimState::Granted) {
    const std::lock_guard lock(mutex_);
    heldNonces_[aId] = nonce;
  }
  return reply;
}

ClaimReply
PeerRequestClaims::ClaimAtIssuer(const RequestId& aId, const std::string& aNonce)
{
  if (aId.issuer_ == id_) {
    const std::lock_guard lock(mutex_);
    return table_.Claim(aId, aNonce, clock_.Now());
  }
  const json message{
    { "type", "Claim" }, { "sender", id_ }, { "id", aId.Text() }, { "attempt", aNonce }
  };
  bool sent = true;
  for (int call = 0; call < kMaxCallAttempts && sent; ++call) {
    const std::optional<ClaimReply> reply = leaf::try_handle_all(
      [&]() -> leaf::result<std::optional<ClaimReply>> {
        BOOST_LEAF_AUTO(response, CallIssuer(aId, message));
        return ReplyFromJson(response);
      },
      [&](const PeerError& aError) {
        sent = aError.code_ != PeerError::Code::Unreachable;
        return std::optional<ClaimReply>();
      },
      [](leaf::catch_<json::exception>) { return std::optional<ClaimReply>(); },
      []() { return std::optional<ClaimReply>(); });
    if (reply) {
      return *reply;
    }
  }
  if (sent) {
    // The claim may have been granted although the reply was lost; releases it.
    SendResult(aId, aNonce, ClaimResult::NotRun, std::nullopt);
  }
  return { ClaimState::Unknown, std::nullopt };
}

void
PeerRequestClaims::Finish(const std::string& aId,
                          ClaimResult aResult,
                          const std::optional<BackendResponse>& aResponse)
{
  const std::optional<RequestId> id = RequestId::Parse(aId);
  std::string nonce;
  {
    const std::lock_guard lock(mutex_);
    auto granted = heldNonces_.find(aId);
    if (!id || granted == heldNonces_.end()) {
      return;
    }
    nonce = granted->second;
    heldNonces_.erase(granted);
    if (id->issuer_ == id_) {
      table_.Finish(*id, nonce, aResult, aResponse, clock_.Now());
      return;
    }
  }
  SendResult(*id, nonce, aResult, aResponse);
}

bool
PeerRequestClaims::SendResult(const RequestId& aId,
                              const std::string& aNonce,
                              ClaimResult aResult,
                              const std::optional<BackendResponse>& aResponse)
{
  json message{ { "type", "ClaimResult" },
                { "sender", id_ },
                { "id", aId.Text() },
                { "attempt", aNonce },
                { "result", kResultNames[static_cast<size_t>(aResult)] } };
  if (aResponse && ResponseSize(*aResponse) <= limits_.maxResponseBytes_) {
    message["answer"] = ResponseToJson(*aResponse);
  }
  for (int call = 0; call < kMaxCallAttempts; ++call) {
    const bool done = leaf::try_handle_all(
      [&]() -> leaf::result<bool> {
        BOOST_LEAF_CHECK(CallIssuer(aId, message));
        return true;
      },
      []() { return false; });
    if (done) {
      return true;
    }
  }
  // The id stays claimed at the issuer, so later attempts do not run: their outcome is "unknown".
  return false;
}

leaf::result<json>
PeerRequestClaims::CallIssuer(const RequestId& aId, const json& aMessage)
{
  const std::string address = directory_.address_(aId.issuer_);
  if (address.empty()) {
    return leaf::new_error(
      PeerError{ PeerError::Code::Unreachable, "issuer \"" + aId.issuer_ + "\" is not known" });
  }
  return peers_.Call(address, aMessage, kTimeout);
}

leaf::result<RequestId>
PeerRequestClaims::CheckMessage(const json& aMessage) const
{
  const std::string sender = aMessage.at("sender").get<std::string>();
  if (!directory_.known_(sender)) {
    return Refuse("unknown sender \"" + sender + "\"");
  }
  const std::optional<RequestId> id = RequestId::Parse(aMessage.at("id").get<std::string>());
  if (!id || id->issuer_ != id_) {
    return Refuse("the request id was not issued here");
  }
  return *id;
}

leaf::result<json>
PeerRequestClaims::OnClaim(const json& aMessage)
{
  BOOST_LEAF_AUTO(id, CheckMessage(aMessage));
  const std::string nonce = aMessage.at("attempt").get<std::string>();
  const std::lock_guard lock(mutex_);
  return ReplyToJson(table_.Claim(id, nonce, clock_.Now()));
}

leaf::result<json>
PeerRequestClaims::OnClaimResult(const json& aMessage)
{
  BOOST_LEAF_AUTO(id, CheckMessage(aMessage));
  const std::string nonce = aMessage.at("attempt").get<std::string>();
  const ClaimResult result =
    FromName(kResultNames, aMessage.at("result").get<std::string>(), ClaimResult::Unknown);
  std::optional<BackendResponse> response;
  if (aMessage.contains("answer")) {
    response = ResponseFromJson(aMessage.at("answer"));
  }
  const std::lock_guard lock(mutex_);
  table_.Finish(id, nonce, result, response, clock_.Now());
  return json::object();
}

std::string
PeerRequestClaims::NextNonce()
{
  const std::lock_guard lock(mutex_);
  return noncePrefix_ + std::to_string(++nonce_);
}

}
