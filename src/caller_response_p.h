#pragma once

#include "sardinespoke/backend_link.h"
#include "sardinespoke/errors.h"
#include "sardinespoke/gateway_error.h"

#include <cstdint>
#include <optional>
#include <string>

namespace sardinespoke {

/// Outcome of a request as reported to its caller.
enum class Outcome
{
  Ok,
  NotRun,
  Unknown,
  AlreadyRun,
  Count
};

/// @returns The outcome's name in the header Sardinespoke-Outcome.
const char*
OutcomeName(Outcome aOutcome);

/// A response to a caller.
struct CallerResponse
{
  int status_ = 0;
  Outcome outcome_ = Outcome::NotRun;
  HeaderList headers_;
  std::string body_;
  /// Content-Length of a response to HEAD, which has no body.
  std::optional<uint64_t> headContentLength_;
};

/// @returns The response of a backend server without its hop-by-hop headers.
CallerResponse
ForwardResponse(BackendResponse aResponse);

/// @returns An error response with a JSON body.
/// @param aError Error name.
/// @param aField The part of the request that the caller has to change; empty if none.
CallerResponse
ErrorResponse(int aStatus,
              Outcome aOutcome,
              const std::string& aError,
              const std::string& aField,
              const std::string& aMessage);

/// @returns The response to a request that the gateway refuses; it did not run.
CallerResponse
ErrorResponse(const GatewayError& aError);

/// @param aMayHaveRun Whether an earlier attempt at the same request may have run.
CallerResponse
ErrorResponse(const AdmissionError& aError, bool aMayHaveRun);

/// @param aMayHaveRun Whether this or an earlier attempt at the same request may have run.
CallerResponse
ErrorResponse(const BackendError& aError, bool aMayHaveRun);

}
