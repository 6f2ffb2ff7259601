#pragma once

#include "sardinespoke/errors.h"

#include <chrono>
#include <cstddef>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace sardinespoke {

/// One HTTP request to the platform.
struct HttpRequest
{
  const char* method_ = "GET";
  std::string url_;
  std::string body_;
  std::chrono::milliseconds timeout_{ 0 }; ///< From the start of the call to the complete response.
};

/// A complete HTTP response.
struct HttpResponse
{
  long status_ = 0;
  std::string body_;
};

/// Pool of libcurl handles for blocking calls, each with at most one persistent connection.
/// Concurrent calls use separate handles. Thread-safe. A request other than GET is never sent on a
/// second connection.
class HttpPool
{
public:
  /// @param aClientName Value of the header Sardinespoke-Client.
  /// @param aConnectTimeout Timeout for opening a connection.
  HttpPool(std::string aClientName, std::chrono::milliseconds aConnectTimeout);
  ~HttpPool();
  HttpPool(const HttpPool&) = delete;
  HttpPool& operator=(const HttpPool&) = delete;

  /// @returns The response with any status. Errors: StoreError::Unreachable if no byte was sent,
  /// StoreError::OutcomeUnknown if the response is incomplete.
  leaf::result<HttpResponse> Call(const HttpRequest& aRequest);

  /// Percent-encodes a text for a URL, except unreserved characters and those in aKeep.
  static std::string Encode(const std::string& aText, const std::string& aKeep = "");

private:
  struct Handle;

  std::unique_ptr<Handle> Acquire();
  void Release(std::unique_ptr<Handle> aHandle);
  void Prepare(Handle& aHandle, const HttpRequest& aRequest) const;

  const std::string clientHeader_;
  const std::chrono::milliseconds connectTimeout_;
  std::mutex mutex_;
  std::vector<std::unique_ptr<Handle>> idleHandles_;
};

}
