#pragma once

#include <string>

namespace sardinespoke {

/// A caller's request that the gateway itself refuses, or a failure to start the gateway.
struct GatewayError
{
  enum class Code
  {
    Malformed,     ///< A field of the request is missing or invalid.
    UnknownRoute,  ///< No such path on the caller port.
    BodyTooLarge,  ///< The request body exceeds the limit.
    HeadersTooBig, ///< Too many header fields or header bytes, or too long a target.
    Stopping,      ///< This entry host accepts no new requests.
    Internal,      ///< Internal error of this process.
    ListenFailed,  ///< The caller address is invalid or in use.
    Count
  };
  Code code_ = Code::Malformed;
  std::string field_; ///< The invalid header, query parameter or other part of the request.
  std::string message_;
};

/// @returns The name of an error code in logs and JSON bodies: lower case, separated by dashes.
const char*
CodeName(GatewayError::Code aCode);

}
