#pragma once

#include "sardinespoke/http_multi.h"

#include <curl/curl.h>

namespace sardinespoke {

struct HttpMulti::Shard
{
  explicit Shard(HttpMulti& aOwner);
  ~Shard() { curl_multi_cleanup(multi_); }
  Shard(const Shard&) = delete;
  Shard& operator=(const Shard&) = delete;

  HttpMulti& owner_;
  CURLM* multi_;
  std::optional<std::chrono::steady_clock::time_point> timer_; ///< As in owner_.timers_.
  bool hasRun_ = false;                                        ///< Is in owner_.ranShards_.
};

}
