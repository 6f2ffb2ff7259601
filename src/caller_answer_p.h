#pragma once

#include "sardinespoke/backend_link.h"
#include "sardinespoke/errors.h"
#include "sardinespoke/gateway_error.h"

#include <cstdint>
#include <optional>
#include <string>

namespace sardinespoke {

/// What the caller is told about its request.
enum class Outcome
{
  Ok,
  NotRun,
  Unknown,
  AlreadyRun,
  Count
};

/// @returns The outcome as written in the header Sardinespoke-Outcome.
const char*
OutcomeName(Outcome aOutcome);

/// An answer to a caller.
struct CallerResponse
{
  int status_ = 0;
  Outcome outcome_ = Outcome::NotRun;
  HeaderList headers_;
  std::string body_;
  /// Content-Length of an answer to HEAD, which has no body.
  std::optional<uint64_t> headContentLength_;
};

/// @returns The whole answer of a backend server without the headers of its connection.
CallerResponse
ForwardResponse(BackendResponse aResponse);

/// @returns An answer with a JSON body.
/// @param aError Error name.
/// @param aField What the caller has to change; empty if nothing.
CallerResponse
ErrorResponse(int aStatus,
              Outcome aOutcome,
              const std::string& aError,
              const std::string& aField,
              const std::string& aMessage);

/// @returns The answer to a request that the gateway refuses. It was not run.
CallerResponse
ErrorResponse(const GatewayError& aError);

/// @param aMayHaveRun Whether an earlier attempt at the same request may have run.
CallerResponse
ErrorResponse(const AdmissionError& aError, bool aMayHaveRun);

/// @param aMayHaveRun Whether this or an earlier attempt at the same request may have run.
CallerResponse
ErrorResponse(const BackendError& aError, bool aMayHaveRun);

}
