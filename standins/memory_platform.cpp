#include "memory_platform.h"

#include <algorithm>
#include <set>
#include <thread>

namespace sardinespoke {

namespace {

constexpr size_t kMaxChanges = 8192;     // Watches from older positions fail with SequenceLost.
constexpr size_t kMaxListVersions = 512; // Limits the history kept for hostListLag_.
constexpr std::chrono::milliseconds kWatchPollInterval{
  10
}; // Interval of checks for expired leases.

auto
Fail(StoreError::Code aCode, const std::string& aMessage)
{
  return leaf::new_error(StoreError{ aCode, aMessage });
}

bool
HasPrefix(const std::string& aKey, const std::string& aPrefix)
{
  return aKey.compare(0, aPrefix.size(), aPrefix) == 0;
}

}

MemoryPlatform::MemoryPlatform(const ClockI& aClock, MemoryPlatformOptions aOptions)
  : clock_(aClock)
  , options_(aOptions)
{
  listHistory_.push_back({ clock_.Now(), {} });
}

leaf::result<MemoryPlatform::Lock>
MemoryPlatform::BeginCall(Counter aCounter, DownSwitch aDown)
{
  Lock lock(mutex_);
  const auto delay = faults_.callDelay_;
  if (delay.count() > 0) {
    lock.unlock();
    std::this_thread::sleep_for(delay);
    lock.lock();
  }
  if (faults_.*aDown) {
    ++calls_.refused_;
    return Fail(StoreError::Code::Unreachable, "the service is down");
  }
  ++(calls_.*aCounter);
  DeleteExpiredLeases();
  return lock;
}

void
MemoryPlatform::RecordChange(const std::string& aKey)
{
  changes_.push_back({ ++sequence_, aKey });
  if (changes_.size() > kMaxChanges) {
    changes_.pop_front();
  }
  changed_.notify_all();
}

void
MemoryPlatform::DeleteLease(std::map<std::string, Lease>::iterator aLease)
{
  for (auto entry = entries_.begin(); entry != entries_.end();) {
    if (entry->second.lease_ != aLease->first) {
      ++entry;
      continue;
    }
    RecordChange(entry->first);
    entry = entries_.erase(entry);
  }
  leases_.erase(aLease);
}

void
MemoryPlatform::DeleteExpiredLeases()
{
  const TimePoint now = clock_.Now();
  for (auto lease = leases_.begin(); lease != leases_.end();) {
    const auto current = lease++;
    if (current->second.expiry_ <= now) {
      DeleteLease(current);
    }
  }
}

bool
MemoryPlatform::LoseAnswer(uint32_t PlatformFaults::*aCount)
{
  if (faults_.*aCount == 0) {
    return false;
  }
  --(faults_.*aCount);
  return true;
}

leaf::result<KeyValueItem>
MemoryPlatform::Get(const std::string& aKey)
{
  BOOST_LEAF_AUTO(lock, BeginCall(&PlatformCalls::reads_, &PlatformFaults::storeDown_));
  const auto entry = entries_.find(aKey);
  if (entry == entries_.end()) {
    return Fail(StoreError::Code::NotFound, "key \"" + aKey + "\" does not exist");
  }
  return KeyValueItem{ aKey, entry->second.value_, entry->second.version_ };
}

leaf::result<uint64_t>
MemoryPlatform::Put(const std::string& aKey,
                    const std::string& aValue,
                    uint64_t aIfVersion,
                    const std::optional<std::string>& aLease)
{
  BOOST_LEAF_AUTO(lock, BeginCall(&PlatformCalls::writes_, &PlatformFaults::storeDown_));
  if (aValue.size() > kMaxValueBytes) {
    return Fail(StoreError::Code::TooLarge,
                "value of key \"" + aKey + "\" has " + std::to_string(aValue.size()) + " bytes");
  }
  if (aLease && leases_.find(*aLease) == leases_.end()) {
    return Fail(StoreError::Code::LeaseLapsed, "lease " + *aLease + " does not exist");
  }
  const auto entry = entries_.find(aKey);
  const uint64_t version = entry == entries_.end() ? 0 : entry->second.version_;
  if (version != aIfVersion) {
    return Fail(StoreError::Code::Conflict,
                "key \"" + aKey + "\" has version " + std::to_string(version) + ", not " +
                  std::to_string(aIfVersion));
  }
  const uint64_t newVersion = nextVersion_++;
  entries_[aKey] = { aValue, newVersion, aLease.value_or("") };
  RecordChange(aKey);
  if (LoseAnswer(&PlatformFaults::loseWriteResponses_)) {
    return Fail(StoreError::Code::OutcomeUnknown, "the response to a put was lost");
  }
  return newVersion;
}

leaf::result<void>
MemoryPlatform::Delete(const std::string& aKey, uint64_t aIfVersion)
{
  BOOST_LEAF_AUTO(lock, BeginCall(&PlatformCalls::writes_, &PlatformFaults::storeDown_));
  const auto entry = entries_.find(aKey);
  if (entry == entries_.end() || entry->second.version_ != aIfVersion) {
    return Fail(StoreError::Code::Conflict,
                "key \"" + aKey + "\" does not have version " + std::to_string(aIfVersion));
  }
  entries_.erase(entry);
  RecordChange(aKey);
  if (LoseAnswer(&PlatformFaults::loseWriteResponses_)) {
    return Fail(StoreError::Code::OutcomeUnknown, "the response to a delete was lost");
  }
  return {};
}

leaf::result<KeyValueRange>
MemoryPlatform::Range(const std::string& aPrefix)
{
  BOOST_LEAF_AUTO(lock, BeginCall(&PlatformCalls::reads_, &PlatformFaults::storeDown_));
  KeyValueRange range;
  range.sequence_ = sequence_;
  for (auto entry = entries_.lower_bound(aPrefix); entry != entries_.end(); ++entry) {
    if (!HasPrefix(entry->first, aPrefix)) {
      break;
    }
    range.items_.push_back({ entry->first, entry->second.value_, entry->second.version_ });
  }
  return range;
}

bool
MemoryPlatform::KnowsSequence(uint64_t aAfter) const
{
  return aAfter <= sequence_ && aAfter + changes_.size() >= sequence_;
}

KeyValueChanges
MemoryPlatform::CollectChanges(const std::string& aPrefix, uint64_t aAfter) const
{
  std::set<std::string> keys;
  const auto first =
    std::partition_point(changes_.begin(), changes_.end(), [&](const Change& aChange) {
      return aChange.sequence_ <= aAfter;
    });
  std::for_each(first, changes_.end(), [&](const Change& aChange) {
    if (HasPrefix(aChange.key_, aPrefix)) {
      keys.insert(aChange.key_);
    }
  });
  KeyValueChanges result;
  result.sequence_ = sequence_;
  for (const std::string& key : keys) {
    const auto entry = entries_.find(key);
    if (entry == entries_.end()) {
      result.deleted_.push_back(key);
      continue;
    }
    result.items_.push_back({ key, entry->second.value_, entry->second.version_ });
  }
  return result;
}

leaf::result<KeyValueChanges>
MemoryPlatform::Watch(const std::string& aPrefix, uint64_t aAfter, std::chrono::milliseconds aWait)
{
  BOOST_LEAF_AUTO(lock, BeginCall(&PlatformCalls::watches_, &PlatformFaults::storeDown_));
  const auto end = std::chrono::steady_clock::now() + aWait;
  const uint64_t restarts = restarts_;
  for (;;) {
    if (faults_.storeDown_) {
      return Fail(StoreError::Code::OutcomeUnknown, "the service went down during a watch");
    }
    if (restarts != restarts_ || !KnowsSequence(aAfter)) {
      return Fail(StoreError::Code::SequenceLost,
                  "watch position " + std::to_string(aAfter) + " is unknown");
    }
    KeyValueChanges changes = CollectChanges(aPrefix, aAfter);
    const bool found = !changes.items_.empty() || !changes.deleted_.empty();
    const auto now = std::chrono::steady_clock::now();
    if (found || stopped_ || !options_.blockingWatches_ || now >= end) {
      return changes;
    }
    changed_.wait_for(lock, std::min<std::chrono::nanoseconds>(end - now, kWatchPollInterval));
    DeleteExpiredLeases();
  }
}

leaf::result<std::string>
MemoryPlatform::GrantLease(std::chrono::milliseconds aTtl)
{
  BOOST_LEAF_AUTO(lock, BeginCall(&PlatformCalls::leases_, &PlatformFaults::storeDown_));
  std::string id = "L" + std::to_string(restarts_) + "-" + std::to_string(nextLease_++);
  leases_[id] = { aTtl, clock_.Now() + aTtl };
  return id;
}

leaf::result<void>
MemoryPlatform::RenewLease(const std::string& aLease)
{
  BOOST_LEAF_AUTO(lock, BeginCall(&PlatformCalls::leases_, &PlatformFaults::storeDown_));
  const auto lease = leases_.find(aLease);
  if (lease == leases_.end()) {
    return Fail(StoreError::Code::LeaseLapsed, "lease " + aLease + " does not exist");
  }
  lease->second.expiry_ = clock_.Now() + lease->second.ttl_;
  return {};
}

leaf::result<void>
MemoryPlatform::RevokeLease(const std::string& aLease)
{
  BOOST_LEAF_AUTO(lock, BeginCall(&PlatformCalls::leases_, &PlatformFaults::storeDown_));
  const auto lease = leases_.find(aLease);
  if (lease == leases_.end()) {
    return Fail(StoreError::Code::LeaseLapsed, "lease " + aLease + " does not exist");
  }
  DeleteLease(lease);
  return {};
}

leaf::result<HostListSnapshot>
MemoryPlatform::Fetch()
{
  BOOST_LEAF_AUTO(lock, BeginCall(&PlatformCalls::hostLists_, &PlatformFaults::hostListDown_));
  const TimePoint shown = clock_.Now() - faults_.hostListLag_;
  const auto version =
    std::find_if(listHistory_.rbegin(), listHistory_.rend(), [&](const ListVersion& aVersion) {
      return aVersion.since_ <= shown;
    });
  return version == listHistory_.rend() ? listHistory_.front().list_ : version->list_;
}

void
MemoryPlatform::CompleteRebootIfDue(const std::string& aHost, Machine& aMachine) const
{
  const bool stuck = faults_.stuckHosts_.count(aHost) > 0;
  if (!aMachine.rebooting_ || stuck || clock_.Now() < aMachine.upAt_) {
    return;
  }
  aMachine.rebooting_ = false;
  ++aMachine.boot_;
}

leaf::result<void>
MemoryPlatform::Reboot(const std::string& aHost)
{
  BOOST_LEAF_AUTO(lock,
                  BeginCall(&PlatformCalls::hostControls_, &PlatformFaults::hostControlDown_));
  const auto machine = machines_.find(aHost);
  if (machine == machines_.end()) {
    return Fail(StoreError::Code::NotFound, "host \"" + aHost + "\" does not exist");
  }
  CompleteRebootIfDue(aHost, machine->second);
  if (!machine->second.rebooting_) {
    machine->second.rebooting_ = true;
    machine->second.upAt_ = clock_.Now() + options_.rebootTime_;
  }
  if (LoseAnswer(&PlatformFaults::loseRebootResponses_)) {
    return Fail(StoreError::Code::OutcomeUnknown, "the response to a reboot was lost");
  }
  return {};
}

leaf::result<HostPower>
MemoryPlatform::Power(const std::string& aHost)
{
  BOOST_LEAF_AUTO(lock,
                  BeginCall(&PlatformCalls::hostControls_, &PlatformFaults::hostControlDown_));
  const auto machine = machines_.find(aHost);
  if (machine == machines_.end()) {
    return Fail(StoreError::Code::NotFound, "host \"" + aHost + "\" does not exist");
  }
  CompleteRebootIfDue(aHost, machine->second);
  const auto state =
    machine->second.rebooting_ ? HostPower::State::Rebooting : HostPower::State::Up;
  return HostPower{ state, machine->second.boot_ };
}

PlatformFaults
MemoryPlatform::Faults() const
{
  const Lock lock(mutex_);
  return faults_;
}

void
MemoryPlatform::SetFaults(const PlatformFaults& aFaults)
{
  ChangeFaults([&](PlatformFaults& aCurrent) { aCurrent = aFaults; });
}

void
MemoryPlatform::ChangeFaults(const std::function<void(PlatformFaults&)>& aChange)
{
  const Lock lock(mutex_);
  aChange(faults_);
  changed_.notify_all();
}

void
MemoryPlatform::ExpireAllLeases()
{
  const Lock lock(mutex_);
  while (!leases_.empty()) {
    DeleteLease(leases_.begin());
  }
}

PlatformSnapshot
MemoryPlatform::TakeSnapshot() const
{
  const Lock lock(mutex_);
  PlatformSnapshot snapshot;
  for (const auto& [key, entry] : entries_) {
    if (entry.lease_.empty()) {
      snapshot[key] = entry.value_;
    }
  }
  return snapshot;
}

void
MemoryPlatform::RestartWith(const PlatformSnapshot& aSnapshot)
{
  const Lock lock(mutex_);
  entries_.clear();
  leases_.clear();
  changes_.clear();
  sequence_ = 0;
  nextVersion_ = 1;
  ++restarts_;
  for (const auto& [key, value] : aSnapshot) {
    entries_[key] = { value, nextVersion_++, "" };
  }
  changed_.notify_all();
}

void
MemoryPlatform::PublishList(const std::function<void(std::map<std::string, ListedHost>&)>& aChange)
{
  aChange(hosts_);
  ListVersion version{ clock_.Now(), {} };
  version.list_.sequence_ = listHistory_.back().list_.sequence_ + 1;
  for (const auto& [id, host] : hosts_) {
    version.list_.hosts_.push_back(host);
  }
  listHistory_.push_back(std::move(version));
  if (listHistory_.size() > kMaxListVersions) {
    listHistory_.pop_front();
  }
}

void
MemoryPlatform::AddHost(const ListedHost& aHost)
{
  const Lock lock(mutex_);
  machines_.try_emplace(aHost.id_);
  PublishList([&](auto& aHosts) { aHosts[aHost.id_] = aHost; });
}

bool
MemoryPlatform::MarkLeaving(const std::string& aHost, bool aLeaving)
{
  const Lock lock(mutex_);
  if (hosts_.find(aHost) == hosts_.end()) {
    return false;
  }
  PublishList([&](auto& aHosts) { aHosts[aHost].leaving_ = aLeaving; });
  return true;
}

bool
MemoryPlatform::RemoveHost(const std::string& aHost)
{
  const Lock lock(mutex_);
  if (hosts_.find(aHost) == hosts_.end()) {
    return false;
  }
  machines_.erase(aHost);
  PublishList([&](auto& aHosts) { aHosts.erase(aHost); });
  return true;
}

bool
MemoryPlatform::IsCutOff(const std::string& aClient) const
{
  const Lock lock(mutex_);
  return faults_.cutOffClients_.count(aClient) > 0;
}

void
MemoryPlatform::CountRefused()
{
  const Lock lock(mutex_);
  ++calls_.refused_;
}

PlatformCalls
MemoryPlatform::Calls() const
{
  const Lock lock(mutex_);
  return calls_;
}

void
MemoryPlatform::Stop()
{
  const Lock lock(mutex_);
  stopped_ = true;
  changed_.notify_all();
}

}
