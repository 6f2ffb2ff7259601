#pragma once

#include "sardinespoke/job_request.h"

#include <string>

namespace sardinespoke {

/// A caller's HTTP request as any entry host receives it.
struct CallerCall
{
  std::string method_;
  std::string host_;
  std::string path_;
  std::string body_;
  std::chrono::milliseconds patience_{ 3000 }; ///< How long the caller waits.
};

/// The answer to it.
struct CallerReply
{
  unsigned int status_ = 503;
  std::string body_;
  std::chrono::milliseconds retryAfter_{ 0 }; ///< 0: none is told.
};

/// Translates between callers' HTTP and jobs.
class CallerCodecI
{
public:
  virtual ~CallerCodecI() = default;

  /// @returns Name of the header, in lower case, that tells how many ms a caller waits.
  virtual std::string PatienceHeader() const = 0;

  virtual JobRequest Decode(const CallerCall& aCall) const = 0;
  virtual CallerReply Encode(const JobResponse& aAnswer) const = 0;
};

}
