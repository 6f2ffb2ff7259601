#pragma once

#include "sardinespoke/backend_link.h"
#include "sardinespoke/errors.h"
#include "sardinespoke/gateway.h"

#include <chrono>
#include <string>
#include <string_view>

namespace sardinespoke {

/// The request line and headers of a caller, as received.
struct RawRequest
{
  std::string method_;
  std::string target_; ///< Path and query, not decoded.
  HeaderList headers_;
};

/// A validated request to a service.
struct CallerRequest
{
  std::string service_;
  std::string kind_; ///< Service and first path segment.
  std::string method_;
  std::string path_;   ///< Path and query sent to the backend server.
  HeaderList headers_; ///< Without hop-by-hop and reserved headers.
  std::string body_;
  std::string requestId_; ///< May be empty for idempotent work.
  bool idempotent_ = false;
  std::chrono::milliseconds deadline_{ 0 }; ///< 0 if the caller gave none.
};

/// Path prefix of all services.
inline constexpr std::string_view kServicesPrefix = "/v1/services/";

/// Checks the limits and syntax rules that apply to every route. Errors: GatewayError.
leaf::result<void>
CheckLimits(const RawRequest& aRaw, const GatewaySettings& aSettings);

/// Parses a request whose path starts with kServicesPrefix, without its body. Errors: GatewayError.
leaf::result<CallerRequest>
ParseServiceRequest(const RawRequest& aRaw);

/// Parses the query parameter `count` of a request for request ids. Errors: GatewayError.
leaf::result<uint32_t>
ParseIdCount(std::string_view aTarget);

}
