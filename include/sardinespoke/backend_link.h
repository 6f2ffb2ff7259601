#pragma once

#include "sardinespoke/errors.h"

#include <chrono>
#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace sardinespoke {

/// HTTP header fields in the order received; a name may repeat.
using HeaderList = std::vector<std::pair<std::string, std::string>>;

/// One attempt to run a request on a backend server.
struct BackendRequest
{
  std::string address_; ///< "ip:port" of the backend server.
  std::string method_;
  std::string path_; ///< Path and query.
  HeaderList headers_;
  std::string body_;
  bool idempotent_ = false;
  std::chrono::milliseconds timeout_{ 0 };
  /// Called immediately before the first byte is sent; the attempt ends with BackendError::Stale
  /// if it returns false.
  std::function<bool()> mayStart_;
  /// Polled during the transfer; the transfer is aborted if it returns true.
  std::function<bool()> cancelled_;
};

/// A complete response of a backend server.
struct BackendResponse
{
  int status_ = 0;
  HeaderList headers_;
  std::string body_;
};

/// Sends requests to backend servers over persistent connections. Errors: BackendError.
/// Never resends a request by itself.
class BackendLinkI
{
public:
  virtual ~BackendLinkI() = default;
  virtual leaf::result<BackendResponse> Send(const BackendRequest& aRequest) = 0;
};

}
