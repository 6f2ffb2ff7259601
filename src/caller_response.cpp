#include "caller_response_p.h"
#include "http_fields_p.h"

#include <nlohmann/json.hpp>

#include <array>
#include <charconv>

namespace sardinespoke {

namespace {

constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kTooLarge = 413;
constexpr int kHeadersTooBig = 431;
constexpr int kInternalError = 500;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;
constexpr char kRetryAfterSeconds[] = "1";

constexpr std::array<const char*, static_cast<size_t>(Outcome::Count)>
  kOutcomeNames{ "ok", "not-run", "unknown", "already-run" };
constexpr std::array<const char*, static_cast<size_t>(GatewayError::Code::Count)> kErrorNames{
  "malformed", "unknown-route", "body-too-large", "headers-too-big",
  "stopping",  "internal",      "listen-failed"
};
constexpr std::array<int, static_cast<size_t>(GatewayError::Code::Count)> kErrorStatus{
  kBadRequest, kNotFound, kTooLarge, kHeadersTooBig, kUnavailable, kInternalError, kInternalError
};

/// @returns The number; empty if the text is not a decimal number.
std::optional<uint64_t>
ParseLength(const std::string& aText)
{
  uint64_t length = 0;
  const char* end = aText.data() + aText.size();
  const auto [stop, code] = std::from_chars(aText.data(), end, length);
  return code == std::errc() && stop == end ? std::optional(length) : std::nullopt;
}

/// @returns Whether the gateway sets the header itself in responses to callers.
bool
IsSetByGateway(const std::string& aName)
{
  constexpr std::string_view kReservedHeaderPrefix = "Sardinespoke-";
  const std::string_view start = std::string_view(aName).substr(0, kReservedHeaderPrefix.size());
  return EqualNoCase(aName, "Content-Length") || EqualNoCase(start, kReservedHeaderPrefix);
}

}

const char*
OutcomeName(Outcome aOutcome)
{
  return kOutcomeNames.at(static_cast<size_t>(aOutcome));
}

const char*
CodeName(GatewayError::Code aCode)
{
  return kErrorNames.at(static_cast<size_t>(aCode));
}

CallerResponse
ForwardResponse(BackendResponse aResponse)
{
  CallerResponse response;
  response.status_ = aResponse.status_;
  response.outcome_ = Outcome::Ok;
  response.body_ = std::move(aResponse.body_);
  const std::vector<std::string> connectionOptions = ConnectionOptions(aResponse.headers_);
  for (auto& [name, value] : aResponse.headers_) {
    if (response.body_.empty() && EqualNoCase(name, "Content-Length")) {
      response.headContentLength_ = ParseLength(value);
    }
    if (IsHopByHop(name) || IsSetByGateway(name) || ContainsNoCase(connectionOptions, name)) {
      continue;
    }
    response.headers_.emplace_back(std::move(name), std::move(value));
  }
  return response;
}

CallerResponse
ErrorResponse(int aStatus,
              Outcome aOutcome,
              const std::string& aError,
              const std::string& aField,
              const std::string& aMessage)
{
  const nlohmann::json body = {
    { "error", aError },
    { "field", aField },
    { "message", aMessage },
    { "outcome", OutcomeName(aOutcome) },
  };
  CallerResponse response;
  response.status_ = aStatus;
  response.outcome_ = aOutcome;
  // Messages may quote parts of the request that are not valid UTF-8.
  response.body_ = body.dump(-1, ' ', true, nlohmann::json::error_handler_t::replace);
  response.headers_.emplace_back("Content-Type", "application/json");
  if (aStatus == kUnavailable) {
    response.headers_.emplace_back("Retry-After", kRetryAfterSeconds);
  }
  return response;
}

CallerResponse
ErrorResponse(const GatewayError& aError)
{
  return ErrorResponse(kErrorStatus.at(static_cast<size_t>(aError.code_)),
                       Outcome::NotRun,
                       CodeName(aError.code_),
                       aError.field_,
                       aError.message_);
}

CallerResponse
ErrorResponse(const AdmissionError& aError, bool aMayHaveRun)
{
  const bool unknownService = aError.code_ == AdmissionError::Code::UnknownService;
  return ErrorResponse(unknownService ? kNotFound : kUnavailable,
                       aMayHaveRun ? Outcome::Unknown : Outcome::NotRun,
                       CodeName(aError.code_),
                       unknownService ? "service" : "",
                       aError.message_);
}

CallerResponse
ErrorResponse(const BackendError& aError, bool aMayHaveRun)
{
  const Outcome outcome = aMayHaveRun ? Outcome::Unknown : Outcome::NotRun;
  int status = kBadGateway;
  if (aError.code_ == BackendError::Code::Timeout) {
    status = kGatewayTimeout;
  }
  const bool refused =
    aError.code_ == BackendError::Code::SlotsRefused || aError.code_ == BackendError::Code::Stale;
  if (refused && !aMayHaveRun) {
    status = kUnavailable;
  }
  return ErrorResponse(status, outcome, CodeName(aError.code_), "", aError.message_);
}

}
