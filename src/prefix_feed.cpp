#include "sardinespoke/prefix_feed.h"

#include <algorithm>

namespace sardinespoke {

namespace {

constexpr std::chrono::milliseconds kRetryDelay{ 100 };

}

PrefixFeed::PrefixFeed(RecordStoreI& aStore, const ClockI& aClock, FeedSettings aSettings)
  : store_(aStore)
  , clock_(aClock)
  , settings_(std::move(aSettings))
{
}

void
PrefixFeed::Tick()
{
  if (inFlight_ || clock_.Now() < next_) {
    return;
  }
  sentAt_ = clock_.Now();
  if (needsRange_) {
    incoming_.clear();
    incomingRevision_ = 0;
    ReadRange("");
    return;
  }
  inFlight_ = true;
  const std::weak_ptr<bool> alive = alive_;
  store_.Watch(
    settings_.prefix_, revision_, settings_.wait_, [this, alive](const RecordReply& aReply) {
      if (alive.lock()) {
        OnWatch(aReply);
      }
    });
}

void
PrefixFeed::ReadRange(const std::string& aAfter)
{
  inFlight_ = true;
  const std::weak_ptr<bool> alive = alive_;
  store_.Range(settings_.prefix_, aAfter, [this, alive](const RecordReply& aReply) {
    if (alive.lock()) {
      OnRange(aReply);
    }
  });
}

void
PrefixFeed::OnRange(const RecordReply& aReply)
{
  inFlight_ = false;
  if (aReply.outcome_ != RecordOutcome::Ok) {
    Retry();
    return;
  }
  // The pages of a range are read at different revisions, so the watch starts at the first page's
  // revision and sees every change made while the pages were read.
  incomingRevision_ = incomingRevision_ == 0 ? aReply.revision_ : incomingRevision_;
  for (const Record& record : aReply.records_) {
    incoming_[record.key_] = record;
  }
  if (aReply.more_ && !aReply.records_.empty()) {
    ReadRange(aReply.records_.back().key_);
    return;
  }
  confirmedAt_ = sentAt_;
  records_ = std::move(incoming_);
  incoming_.clear();
  revision_ = incomingRevision_;
  needsRange_ = false;
  loaded_ = true;
  changed_ = true;
  next_ = clock_.Now() + settings_.gap_;
}

void
PrefixFeed::OnWatch(const RecordReply& aReply)
{
  inFlight_ = false;
  if (aReply.outcome_ == RecordOutcome::HistoryLost) {
    needsRange_ = true;
    return;
  }
  if (aReply.outcome_ != RecordOutcome::Ok) {
    Retry();
    return;
  }
  confirmedAt_ = sentAt_;
  next_ = clock_.Now() + settings_.gap_;
  for (const Record& record : aReply.records_) {
    const auto known = records_.find(record.key_);
    if (known != records_.end() && known->second.revision_ >= record.revision_) {
      continue;
    }
    changed_ = true;
    if (record.removed_) {
      records_.erase(record.key_);
    } else {
      records_[record.key_] = record;
    }
  }
  revision_ = std::max(revision_, aReply.revision_);
}

void
PrefixFeed::Retry()
{
  next_ = clock_.Now() + kRetryDelay;
}

bool
PrefixFeed::TakeChanged()
{
  const bool changed = changed_;
  changed_ = false;
  return changed;
}

TimePoint
PrefixFeed::NextDue() const
{
  return inFlight_ ? TimePoint::max() : next_;
}

}
