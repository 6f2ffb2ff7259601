#include "reply_cache_p.h"

namespace sardinespoke {

ReplyCache::RequestState
ReplyCache::Begin(const std::string& aNonce, std::optional<std::vector<uint8_t>>& aReply)
{
  const std::lock_guard lock(mutex_);
  const auto [entry, added] = entries_.try_emplace(aNonce);
  if (added) {
    insertionOrder_.push_back(aNonce);
    return RequestState::New;
  }
  aReply = entry->second.reply_;
  return entry->second.done_ ? RequestState::Done : RequestState::Running;
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
  while (!insertionOrder_.empty() && (insertionOrder_.size() > kMaxNonces || bytes_ > kMaxBytes)) {
    auto oldest = entries_.find(insertionOrder_.front());
    bytes_ -= oldest->second.reply_ ? oldest->second.reply_->size() : 0;
    entries_.erase(oldest);
    insertionOrder_.pop_front();
  }
}

}
