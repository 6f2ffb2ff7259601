#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace sardinespoke {

/// Caches the replies of handled requests by nonce, bounded in number and bytes.
class ReplyCache
{
public:
  static constexpr size_t kMaxNonces = 4096;
  /// Larger replies are not cached; a duplicate of their request gets a refusal.
  static constexpr size_t kMaxReplyBytes = 32 << 10;
  static constexpr size_t kMaxBytes = 4 << 20;

  enum class RequestState
  {
    New,     ///< First arrival; the caller must handle it and call Finish().
    Running, ///< Another thread is handling it.
    Done,
    Count
  };

  /// Registers the arrival of a request.
  /// @param aReply Receives the cached reply if the request is Done and its reply was small enough.
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
