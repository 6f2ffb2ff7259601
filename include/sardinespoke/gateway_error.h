#pragma once

#include <string>

namespace sardinespoke {

/// A caller's request that the gateway refuses by itself, or a failure to start the gateway.
struct GatewayError
{
  enum class Code
  {
    Malformed,     ///< A field of the request is missing or invalid.
    UnknownRoute,  ///< No such path on the caller port.
    BodyTooLarge,  ///< The request body is above the limit.
    HeadersTooBig, ///< Too many header fields, or too many bytes in them.
    Stopping,      ///< This entry host takes no new requests.
    Internal,      ///< A fault of this process.
    ListenFailed,  ///< The caller address is invalid or in use.
    Count
  };
  Code code_ = Code::Malformed;
  std::string field_; ///< The header, query parameter or part of the request that is at fault.
  std::string message_;
};

/// @returns The name of an error code as used in logs and JSON bodies, in lower-case with dashes.
const char*
CodeName(GatewayError::Code aCode);

}
