#pragma once

#include "sardinespoke/backend_link.h"
#include "sardinespoke/curl_backend_link.h"

#include <curl/curl.h>

#include <cstdint>
#include <optional>
#include <string>

namespace sardinespoke {

/// A reusable libcurl handle and its connection; carries one transfer at a time.
class CurlTransfer
{
public:
  /// Result of a transfer.
  struct Result
  {
    std::optional<BackendResponse> response_; ///< Set if the complete response arrived.
    BackendError error_;                      ///< Valid if there is no response.
    /// The persistent connection was unusable before a byte was sent; another handle may be tried.
    bool connectionUnusable_ = false;
  };

  explicit CurlTransfer(const CurlLinkSettings& aSettings);
  ~CurlTransfer();
  CurlTransfer(const CurlTransfer&) = delete;
  CurlTransfer& operator=(const CurlTransfer&) = delete;

  Result Run(const BackendRequest& aRequest);

  uint64_t ConnectionsOpened() const { return connectionsOpened_; }
  uint64_t ResendsBlocked() const { return resendsBlocked_; }

private:
  // Why a callback aborted the transfer.
  enum class AbortReason
  {
    None,
    Stale,
    Unusable,
    Cancelled,
    TooLarge,
    BadHeader,
    Count
  };

  static curl_socket_t OpenSocket(void* aSelf, curlsocktype aPurpose, curl_sockaddr* aAddress);
  static int CloseSocket(void* aSelf, curl_socket_t aSocket);
  static int OnPreRequest(void* aSelf, char* aPeer, char* aLocal, int aPeerPort, int aLocalPort);
  static size_t OnHeader(char* aData, size_t aSize, size_t aCount, void* aSelf);
  static size_t OnBody(char* aData, size_t aSize, size_t aCount, void* aSelf);

  void SetConstantOptions();
  void SetRequestOptions(const BackendRequest& aRequest);
  void BuildHeaders(const BackendRequest& aRequest);
  CURLcode Perform(const BackendRequest& aRequest);
  Result MakeResult(CURLcode aCode);
  bool RequestMayHaveBeenSent() const;
  bool ConnectionIsIdle() const;
  bool AddHeader(const std::string& aLine);
  bool RecordFramingHeader(const std::string& aName, const std::string& aValue);
  const char* FindFramingError() const;
  bool HasNoBody() const;

  const CurlLinkSettings settings_;
  CURLM* multi_ = nullptr;
  CURL* easy_ = nullptr;
  curl_slist* headerLines_ = nullptr;
  curl_socket_t socket_ = CURL_SOCKET_BAD;
  uint64_t connectionsOpened_ = 0;
  uint64_t resendsBlocked_ = 0;

  // State of the transfer in progress.
  const BackendRequest* request_ = nullptr;
  BackendResponse response_;
  AbortReason abortReason_ = AbortReason::None;
  bool sendAllowed_ = false;  ///< OnPreRequest() allowed sending the first byte.
  bool newConnection_ = true; ///< Whether the connection was opened for this transfer.
  bool headersDone_ = false;  ///< The header section of the final response is complete.
  std::string contentLength_;
  std::string transferEncoding_;
};

}
