#pragma once

#include "sardinespoke/job_request.h"

#include <string>

namespace sardinespoke {

/// A caller's HTTP request as received by an entry host.
struct CallerCall
{
  std::string method_;
  std::string host_;
  std::string path_;
  std::string apiKey_; ///< Empty if the call has none.
  std::string body_;
  std::chrono::milliseconds timeout_{ 3000 }; ///< How long the caller waits for the response.
};

/// Response to a CallerCall.
struct CallerReply
{
  unsigned int status_ = 503;
  std::string body_;
  std::chrono::milliseconds retryAfter_{ 0 }; ///< 0: no Retry-After header.
};

/// Translates between callers' HTTP requests and job calls.
class CallerCodecI
{
public:
  virtual ~CallerCodecI() = default;

  /// @returns Lower-case name of the header with the caller's timeout in milliseconds.
  virtual std::string TimeoutHeader() const = 0;

  virtual JobRequest Decode(const CallerCall& aCall) const = 0;
  virtual CallerReply Encode(const JobResponse& aAnswer) const = 0;
};

}
