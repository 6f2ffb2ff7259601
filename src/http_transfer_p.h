#pragma once

#include "sardinespoke/http_multi.h"

#include <curl/curl.h>

namespace sardinespoke {

/// A call with its libcurl handle.
struct HttpMulti::Transfer
{
  /// Longest time to connect.
  static constexpr std::chrono::milliseconds kConnectTimeout{ 400 };

  /// Prepares the libcurl handle for the call.
  void SetOptions();

  /// @returns True if a byte of the request was sent.
  bool WasSent() const;

  HttpMulti* owner_ = nullptr;
  HttpCall call_;
  Done done_;
  Shard* shard_ = nullptr;
  CURL* easy_ = nullptr;
  int socket_ = -1; ///< Watched for this call; -1 if there is none.
  std::chrono::steady_clock::time_point deadline_{};
  std::chrono::steady_clock::time_point sentAt_{};
  curl_slist* headers_ = nullptr;
  std::string body_;

private:
  static curl_socket_t OpenSocket(void* aSelf, curlsocktype, curl_sockaddr* aAddress);
  /// Begins the time limit of the response; refuses a second attempt, also over a kept connection.
  static int OnPreRequest(void* aSelf, char*, char*, int, int);
  static size_t Receive(char* aData, size_t aSize, size_t aCount, void* aSelf);
};

}
