#include "reply_cache_p.h"

namespace sardinespoke {

ReplyCache::Seen
ReplyCache::Begin(const std::string& aNonce, std::optional<std::vector<uint8_t>>& aReply)
{
  const std::lock_guard lock(mutex_);
  const auto [entry, added] = entries_.try_emplace(aNonce);
  if (added) {
    order_.push_back(aNonce);
    return Seen::New;
  }
  aReply = entry->second.reply_;
  return entry->second.done_ ? Seen::Done : Seen::Running;
}

void
ReplyCache::Finish(const std::string& aNonce, const std::vector<uint8_t>& aReply)
{
  const std::lock_guard lock(mutex_);
  auto entry = entries_.find(aNonce);
  if (entry != entries_.end()) {
    entry->second.done_ = true;
    if (aReply.size() <= kMaxReplyBytes) {
      entry->second.reply_ = aReply;
      bytes_ += aReply.size();
    }
  }
  while (!order_.empty() && (order_.size() > kMaxNonces || bytes_ > kMaxBytes)) {
    auto oldest = entries_.find(order_.front());
    bytes_ -= oldest->second.reply_ ? oldest->second.reply_->size() : 0;
    entries_.erase(oldest);
    order_.pop_front();
  }
}

}
