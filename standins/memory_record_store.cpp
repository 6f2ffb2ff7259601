#include "memory_record_store.h"

namespace sardinespoke {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kCallLatency{ 4 };
constexpr milliseconds kCallTimeout{ 700 };

}

MemoryRecordStore::MemoryRecordStore(ManualClock& aClock, EventQueue& aEvents)
  : clock_(aClock)
  , events_(aEvents)
{
}

void
MemoryRecordStore::Client::Call(const std::function<RecordReply()>& aEffect,
                                bool aIsLost,
                                const Done& aDone)
{
  ++calls_;
  EventQueue& events = store_.events_;
  if (fault_ == Fault::Refusing) {
    events.ScheduleAfter(kCallLatency, [aDone] {
      RecordReply reply;
      reply.outcome_ = RecordOutcome::Refused;
      aDone(reply);
    });
    return;
  }
  if (fault_ == Fault::Unresponsive) {
    events.ScheduleAfter(kCallTimeout, [aDone] { aDone(RecordReply()); });
    return;
  }
  events.ScheduleAfter(kCallLatency / 2, [&events, aEffect, aDone, aIsLost] {
    const RecordReply reply = aEffect();
    events.ScheduleAfter(aIsLost ? kCallTimeout : kCallLatency / 2,
                         [aDone, reply, aIsLost] { aDone(aIsLost ? RecordReply() : reply); });
  });
}

void
MemoryRecordStore::Client::Range(const std::string& aPrefix, const std::string& aAfter, Done aDone)
{
  const auto read = [this, aPrefix, aAfter, aDone] {
    Call([this, aPrefix, aAfter] { return store_.Read(aPrefix, aAfter); }, false, aDone);
  };
  const auto delay = readDelays_.find(aPrefix);
  if (delay == readDelays_.end()) {
    read();
  } else {
    store_.events_.ScheduleAfter(delay->second, read);
  }
}

void
MemoryRecordStore::Client::Watch(const std::string& aPrefix,
                                 int64_t aAfter,
                                 milliseconds aWait,
                                 Done aDone)
{
  ++calls_;
  if (fault_ == Fault::Unresponsive || fault_ == Fault::Refusing) {
    store_.events_.ScheduleAfter(kCallTimeout, [aDone] { aDone(RecordReply()); });
    return;
  }
  store_.pendingWatches_.push_back(
    PendingWatch{ this, aPrefix, aAfter, store_.clock_.Now() + aWait, std::move(aDone) });
}

void
MemoryRecordStore::Client::Commit(const RecordTransaction& aChange, Done aDone)
{
  Call([this, aChange] { return store_.Apply(aChange); }, fault_ == Fault::ResponsesLost, aDone);
}

void
MemoryRecordStore::Client::Grant(milliseconds aTtl, Done aDone)
{
  Call(
    [this, aTtl] {
      RecordReply reply;
      reply.outcome_ = RecordOutcome::Ok;
      reply.lease_ = store_.nextLease_++;
      reply.ttl_ = aTtl;
      store_.leases_[reply.lease_] = { aTtl, store_.clock_.Now() + aTtl };
      return reply;
    },
    false,
    aDone);
}

void
MemoryRecordStore::Client::Renew(uint64_t aLease, Done aDone)
{
  Call(
    [this, aLease] {
      RecordReply reply;
      const auto found = store_.leases_.find(aLease);
      reply.outcome_ = found == store_.leases_.end() ? RecordOutcome::NotFound : RecordOutcome::Ok;
      if (found != store_.leases_.end()) {
        found->second.second = store_.clock_.Now() + found->second.first;
      }
      return reply;
    },
    fault_ == Fault::RenewalsLost,
    aDone);
}

RecordReply
MemoryRecordStore::Read(const std::string& aPrefix, const std::string& aAfter) const
{
  constexpr size_t kPageSize = 500;
  RecordReply reply;
  reply.outcome_ = RecordOutcome::Ok;
  reply.revision_ = revision_;
  for (auto next = records_.upper_bound(aAfter); next != records_.end(); ++next) {
    if (next->first.rfind(aPrefix, 0) != 0) {
      continue;
    }
    if (reply.records_.size() == kPageSize) {
      reply.more_ = true;
      break;
    }
    reply.records_.push_back(next->second);
  }
  return reply;
}

RecordReply
MemoryRecordStore::Apply(const RecordTransaction& aChange)
{
  RecordReply reply;
  reply.outcome_ = RecordOutcome::Ok;
  for (const RecordPrecondition& expected : aChange.preconditions_) {
    const auto found = records_.find(expected.key_);
    Record present;
    present.key_ = expected.key_;
    present = found == records_.end() ? present : found->second;
    reply.records_.push_back(present);
    if (present.revision_ != expected.revision_) {
      reply.outcome_ = RecordOutcome::Conflict;
    }
  }
  for (const RecordWrite& write : aChange.writes_) {
    if (write.lease_ != 0 && leases_.count(write.lease_) == 0) {
      reply.outcome_ = RecordOutcome::NotFound;
    }
  }
  if (reply.outcome_ != RecordOutcome::Ok) {
    return reply;
  }
  ++revision_;
  for (const RecordWrite& write : aChange.writes_) {
    Record& record = records_[write.key_];
    record.created_ = record.key_.empty() ? revision_ : record.created_;
    record.key_ = write.key_;
    record.value_ = write.value_;
    record.revision_ = revision_;
    record.lease_ = write.lease_;
    history_.push_back(record);
  }
  for (const std::string& key : aChange.deletes_) {
    Erase(key);
  }
  reply.revision_ = revision_;
  reply.records_.clear();
  return reply;
}

void
MemoryRecordStore::Erase(const std::string& aKey)
{
  if (records_.erase(aKey) == 0) {
    return;
  }
  Record gone;
  gone.key_ = aKey;
  gone.revision_ = revision_;
  gone.removed_ = true;
  history_.push_back(gone);
}

void
MemoryRecordStore::Put(const std::string& aKey, const std::string& aValue)
{
  RecordTransaction change;
  change.writes_.push_back(RecordWrite{ aKey, aValue });
  Apply(change);
}

void
MemoryRecordStore::Remove(const std::string& aKey)
{
  ++revision_;
  Erase(aKey);
}

void
MemoryRecordStore::DropHistory()
{
  history_.clear();
  oldestRevision_ = revision_;
}

bool
MemoryRecordStore::AnswerWatch(const PendingWatch& aWatch)
{
  if (aWatch.client_->fault_ == Fault::Unresponsive) {
    return false;
  }
  RecordReply reply;
  reply.outcome_ = RecordOutcome::Ok;
  reply.revision_ = revision_;
  if (aWatch.after_ < oldestRevision_) {
    reply.outcome_ = RecordOutcome::HistoryLost;
  }
  for (const Record& record : history_) {
    if (record.revision_ > aWatch.after_ && record.key_.rfind(aWatch.prefix_, 0) == 0) {
      reply.records_.push_back(record);
    }
  }
  const bool due = clock_.Now() >= aWatch.until_;
  if (reply.records_.empty() && reply.outcome_ == RecordOutcome::Ok && !due) {
    return false;
  }
  const auto done = aWatch.done_;
  events_.ScheduleAfter(kCallLatency / 2, [done, reply] { done(reply); });
  return true;
}

void
MemoryRecordStore::Step()
{
  for (auto lease = leases_.begin(); lease != leases_.end();) {
    if (clock_.Now() < lease->second.second) {
      ++lease;
      continue;
    }
    std::vector<std::string> keys;
    for (const auto& [key, record] : records_) {
      if (record.lease_ == lease->first) {
        keys.push_back(key);
      }
    }
    for (const std::string& key : keys) {
      Remove(key);
    }
    lease = leases_.erase(lease);
  }
  for (auto watch = pendingWatches_.begin(); watch != pendingWatches_.end();) {
    const bool unresponsive = watch->client_->fault_ == Fault::Unresponsive;
    if (unresponsive && clock_.Now() > watch->until_ + kCallTimeout) {
      const auto done = watch->done_;
      watch = pendingWatches_.erase(watch);
      done(RecordReply());
      continue;
    }
    watch = AnswerWatch(*watch) ? pendingWatches_.erase(watch) : std::next(watch);
  }
}

}
