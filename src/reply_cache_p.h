#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace sardinespoke {

/// Remembers which requests have been handled and their replies, bounded in number and bytes.
class ReplyCache
{
public:
  static constexpr size_t kMaxNonces = 4096;
  /// Longer replies are not kept; a repeated request then gets a refusal.
  static constexpr size_t kMaxReplyBytes = 32 << 10;
  static constexpr size_t kMaxBytes = 4 << 20;

  enum class RequestState
  {
    New,     ///< The caller handles it now and calls Finish().
    Running, ///< Another thread handles it.
    Done,
    Count
  };

  /// @param aReply Receives the kept reply if the result is Done and it was short enough.
  RequestState Begin(const std::string& aNonce, std::optional<std::vector<uint8_t>>& aReply);
  void Finish(const std::string& aNonce, const std::vector<uint8_t>& aReply);

private:
  struct Entry
  {
    bool done_ = false;
    std::optional<std::vector<uint8_t>> reply_;
  };

  std::mutex mutex_;
  std::map<std::string, Entry> entries_;
  std::deque<std::string> insertionOrder_;
  size_t bytes_ = 0;
};

}
