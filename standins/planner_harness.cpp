#include "planner_harness.h"

#include <algorithm>

namespace sardinespoke {

namespace {

constexpr std::chrono::milliseconds kTick{ 500 };
constexpr std::chrono::milliseconds kViewLimit{ 2500 };
constexpr std::chrono::milliseconds kLease{ 4000 };
constexpr const char* kPrefix = "sardinespoke/";
constexpr const char* kFleetKey = "sardinespoke/config/fleet";
constexpr const char* kLeaderLeaseKey = "sardinespoke/duty/planner";

}

/// The store as seen by the planners; checks every write of the fleet document.
class PlannerHarness::CheckedStore final : public KeyValueStoreI
{
public:
  explicit CheckedStore(PlannerHarness& aHarness)
    : harness_(aHarness)
  {
  }

  leaf::result<KeyValueItem> Get(const std::string& aKey) override
  {
    if (aKey == kLeaderLeaseKey && harness_.allPlannersLead_) {
      return leaf::new_error(
        StoreError{ StoreError::Code::NotFound, "every planner holds the leader lease" });
    }
    auto item = harness_.platform_.Get(aKey);
    if (aKey == kFleetKey && harness_.afterRead_) {
      Call(harness_.afterRead_);
    }
    return item;
  }

  leaf::result<uint64_t> Put(const std::string& aKey,
                             const std::string& aValue,
                             uint64_t aIfVersion,
                             const std::optional<std::string>& aLease) override
  {
    if (aKey == kLeaderLeaseKey && harness_.allPlannersLead_) {
      return 1;
    }
    if (aKey != kFleetKey) {
      return harness_.platform_.Put(aKey, aValue, aIfVersion, aLease);
    }
    if (harness_.beforeWrite_) {
      Call(harness_.beforeWrite_);
    }
    uint64_t version = aIfVersion;
    if (harness_.mutants_.uncheckedWrites_) {
      const auto current = harness_.platform_.Get(aKey);
      version = current ? current->version_ : aIfVersion;
    }
    auto result = harness_.platform_.Put(aKey, aValue, version, aLease);
    const auto now = harness_.platform_.Get(aKey);
    if (now && now->value_ == aValue) {
      harness_.CheckWrite(harness_.storedFleet_, *FleetMap::Parse(aValue));
      if (harness_.afterWrite_) {
        Call(harness_.afterWrite_);
      }
    }
    return result;
  }

  leaf::result<void> Delete(const std::string& aKey, uint64_t aIfVersion) override
  {
    return harness_.platform_.Delete(aKey, aIfVersion);
  }
  leaf::result<KeyValueRange> Range(const std::string& aPrefix) override
  {
    return harness_.platform_.Range(aPrefix);
  }
  leaf::result<KeyValueChanges> Watch(const std::string& aPrefix,
                                      uint64_t aAfter,
                                      std::chrono::milliseconds aWait) override
  {
    return harness_.platform_.Watch(aPrefix, aAfter, aWait);
  }
  leaf::result<std::string> GrantLease(std::chrono::milliseconds aTtl) override
  {
    return harness_.platform_.GrantLease(aTtl);
  }
  leaf::result<void> RenewLease(const std::string& aLease) override
  {
    return harness_.platform_.RenewLease(aLease);
  }
  leaf::result<void> RevokeLease(const std::string& aLease) override
  {
    return harness_.platform_.RevokeLease(aLease);
  }

private:
  /// Clears a hook before calling it, so that steps inside the hook do not call it again.
  static void Call(std::function<void()>& aHook)
  {
    const std::function<void()> hook = std::move(aHook);
    aHook = nullptr;
    hook();
  }

  PlannerHarness& harness_;
};

/// Host control as seen by the planners; checks every reboot.
class PlannerHarness::CheckedControl final : public HostControlI
{
public:
  explicit CheckedControl(PlannerHarness& aHarness)
    : harness_(aHarness)
  {
  }

  leaf::result<void> Reboot(const std::string& aHost) override
  {
    harness_.CheckReboot(aHost);
    return harness_.platform_.Reboot(aHost);
  }
  leaf::result<HostPower> Power(const std::string& aHost) override
  {
    return harness_.platform_.Power(aHost);
  }

private:
  PlannerHarness& harness_;
};

/// Inputs of one planner, which runs on the entry host with the same index.
class PlannerHarness::Inputs final : public PlannerInputsI
{
public:
  Inputs(PlannerHarness& aHarness, size_t aIndex)
    : harness_(aHarness)
    , index_(aIndex)
  {
  }

  leaf::result<std::vector<EntryReport>> EntryReports() override
  {
    if (harness_.platform_.Faults().storeDown_) {
      return leaf::new_error(StoreError{ StoreError::Code::Unreachable, "the store is down" });
    }
    return harness_.frozenReports_.value_or(harness_.Reports());
  }
  std::map<std::string, double> DemandSlots() override { return harness_.demand_; }
  ConfigView Documents() override
  {
    return { harness_.profiles_, harness_.entries_.at(index_).view_, nullptr };
  }

private:
  PlannerHarness& harness_;
  const size_t index_;
};

PlannerHarness::PlannerHarness(const HarnessShape& aShape, uint64_t aSeed, HarnessMutants aMutants)
  : shape_(aShape)
  , mutants_(aMutants)
  , random_(aSeed)
  , platform_(clock_, { false, aShape.rebootTime_ })
  , profiles_(std::make_shared<ProfileSet>())
  , store_(std::make_unique<CheckedStore>(*this))
  , control_(std::make_unique<CheckedControl>(*this))
  , editor_(*store_, kPrefix, "operator", "operator.1")
{
  BuildDeployment();
  for (size_t i = 0; i < shape_.planners_; ++i) {
    PlannerSettings settings;
    settings.entryHost_ = entries_.at(i).id_;
    settings.incarnation_ = entries_.at(i).incarnation_ + "p" + std::to_string(i);
    settings.options_ = shape_.options_;
    if (mutants_.skipReadLimit_) {
      settings.maxRebootDocumentAge_ = std::chrono::hours(1);
    }
    inputs_.push_back(std::make_unique<Inputs>(*this, i));
    planners_.push_back(std::make_unique<PlannerController>(
      settings, *store_, platform_, *control_, *inputs_.back(), clock_, nullptr));
  }
  if (shape_.membersFirst_) {
    static_cast<void>(editor_.Edit(0, [&](FleetMap& aFleet) -> leaf::result<void> {
      const auto& entry = entries_.front();
      aFleet.members_[entry.id_] = { entry.id_, entry.incarnation_, 1, 0 };
      return {};
    }));
  }
  Run(std::chrono::seconds(8)); // Until all members acknowledged the first document.
}

PlannerHarness::~PlannerHarness() = default;

void
PlannerHarness::BuildDeployment()
{
  for (size_t i = 0; i < shape_.pools_; ++i) {
    const std::string name = "pool" + std::to_string(i);
    PoolRules& pool = profiles_->pools_[name];
    pool.name_ = name;
    pool.floorHosts_ = shape_.floor_;
    pool.spare_ = i + 1 == shape_.pools_;
    Profile& profile = profiles_->profiles_[name];
    profile.name_ = name;
    profile.maintenance_ = shape_.rules_;
    profiles_->services_[name] = { name, name, name };
  }
  for (size_t i = 0; i < shape_.pools_ * shape_.hostsPerPool_; ++i) {
    const size_t rack = i / shape_.hostsPerRack_;
    ListedHost host;
    host.id_ = "w" + std::to_string(100 + i);
    host.address_ = "127.0.0.1:" + std::to_string(20000 + i);
    host.rack_ = "r" + std::to_string(rack);
    host.zone_ = "z" + std::to_string(rack % shape_.zones_);
    host.region_ = "region";
    listed_[host.id_] = host;
    platform_.AddHost(host);
  }
  for (size_t i = 0; i < std::max(shape_.entryHosts_, shape_.planners_); ++i) {
    FakeEntryHost entry;
    entry.id_ = "e" + std::to_string(i);
    entry.incarnation_ = "1";
    entries_.push_back(entry);
  }
}

void
PlannerHarness::Tick()
{
  clock_.Advance(kTick);
  for (FakeEntryHost& entry : entries_) {
    TickEntry(entry);
  }
  for (size_t i = 0; i < planners_.size(); ++i) {
    if (pausedPlanners_.count(i) == 0) {
      planners_[i]->Step();
    }
  }
}

void
PlannerHarness::Run(std::chrono::milliseconds aTime)
{
  for (auto passed = kTick; passed <= aTime; passed += kTick) {
    Tick();
  }
}

bool
PlannerHarness::RunUntil(const std::function<bool()>& aCondition, std::chrono::milliseconds aLimit)
{
  for (auto passed = kTick; passed <= aLimit; passed += kTick) {
    if (aCondition()) {
      return true;
    }
    Tick();
  }
  return aCondition();
}

FleetMap
PlannerHarness::Fleet()
{
  return storedFleet_;
}

size_t
PlannerHarness::CountHosts(HostState aState)
{
  size_t count = 0;
  for (const auto& [id, host] : storedFleet_.hosts_) {
    count += host.state_ == aState ? 1 : 0;
  }
  return count;
}

void
PlannerHarness::TickEntry(FakeEntryHost& aEntry)
{
  const TimePoint now = clock_.Now();
  std::erase_if(aEntry.inFlight_, [&](const auto& aWork) { return aWork.second.end_ <= now; });
  if (aEntry.dead_ || aEntry.paused_) {
    return;
  }
  const auto item = platform_.Get(kFleetKey);
  if (item) {
    aEntry.renewedAt_ = now;
    if (item->value_ != parsedText_) {
      parsedText_ = item->value_;
      parsed_ = std::make_shared<FleetMap>(*FleetMap::Parse(item->value_));
    }
    const std::shared_ptr<const FleetMap> fleet = parsed_;
    const bool newer = !aEntry.view_ || fleet->revision_ > aEntry.view_->revision_;
    if (newer && aEntry.acknowledges_) {
      aEntry.view_ = fleet;
    }
    if (aEntry.view_->revision_ >= fleet->revision_) {
      aEntry.confirmedAt_ = now;
    }
    if (fleet->members_.count(aEntry.id_) == 0) {
      static_cast<void>(editor_.Edit(0, [&](FleetMap& aFleet) -> leaf::result<void> {
        aFleet.members_[aEntry.id_] = { aEntry.id_, aEntry.incarnation_, aFleet.revision_, 0 };
        return {};
      }));
    }
  }
  Dispatch(aEntry);
}

bool
PlannerHarness::MayDispatch(const FakeEntryHost& aEntry) const
{
  if (!aEntry.view_ || aEntry.view_->members_.count(aEntry.id_) == 0) {
    return false;
  }
  if (clock_.Now() - aEntry.confirmedAt_ <= kViewLimit) {
    return true;
  }
  // All-peers rule: work may go on if all other members reply that they cannot reach the store.
  return platform_.Faults().storeDown_ &&
         std::all_of(entries_.begin(), entries_.end(), [](const FakeEntryHost& aOther) {
           return !aOther.dead_ && !aOther.paused_;
         });
}

void
PlannerHarness::Dispatch(FakeEntryHost& aEntry)
{
  if (!MayDispatch(aEntry)) {
    return;
  }
  std::uniform_int_distribution<int64_t> run(100, shape_.runTime_.count());
  for (const auto& [id, host] : aEntry.view_->hosts_) {
    if (host.state_ != HostState::Serving || random_() % 2 == 0) {
      continue;
    }
    const auto stored = storedFleet_.hosts_.find(id);
    if (stored != storedFleet_.hosts_.end() && stored->second.pool_ != host.pool_) {
      RecordViolation("P2: " + aEntry.id_ + " dispatched work of " + host.pool_ + " to " + id +
                      " of " + stored->second.pool_);
    }
    const TimePoint end = clock_.Now() + std::chrono::milliseconds(run(random_));
    FakeEntryHost::Work& work = aEntry.inFlight_[id];
    work = { host.pool_, std::max(work.end_, end) };
  }
}

std::vector<EntryReport>
PlannerHarness::Reports() const
{
  std::vector<EntryReport> reports;
  for (const FakeEntryHost& entry : entries_) {
    if (!entry.view_ || clock_.Now() - entry.renewedAt_ > kLease) {
      continue;
    }
    EntryReport report{ entry.id_, entry.incarnation_, entry.view_->revision_, {}, {} };
    report.suspects_ = entry.suspects_;
    for (const auto& [host, work] : entry.inFlight_) {
      const auto record = entry.view_->hosts_.find(host);
      if (record != entry.view_->hosts_.end() && record->second.state_ != HostState::Serving) {
        report.busy_.insert(host);
      }
    }
    if (mutants_.assumeAcks_) {
      report.fleetRevision_ = storedFleet_.revision_;
      report.busy_.clear();
    }
    reports.push_back(report);
  }
  return reports;
}

void
PlannerHarness::CheckWrite(const FleetMap& aBefore, const FleetMap& aAfter)
{
  ++writes_;
  // Writing the same document again is allowed: a write-back after a restore of the store.
  if (aAfter.revision_ <= aBefore.revision_ && aAfter != aBefore) {
    RecordViolation("revision " + std::to_string(aAfter.revision_) +
                    " was reused for another document");
  }
  CheckBudgets(aBefore, aAfter);
  for (const auto& [id, host] : aAfter.hosts_) {
    const auto before = aBefore.hosts_.find(id);
    if (before == aBefore.hosts_.end() || before->second.pool_ == host.pool_) {
      continue;
    }
    ++moves_;
    for (const FakeEntryHost& entry : entries_) {
      if (!entry.dead_ && entry.inFlight_.count(id) > 0) {
        RecordViolation("P2: " + id + " was moved to another pool while " + entry.id_ +
                        " has work in flight");
      }
    }
  }
  storedFleet_ = aAfter;
}

bool
PlannerHarness::IsUnavailable(const std::string& aHost,
                              const FleetMap& aBefore,
                              const FleetMap& aAfter) const
{
  if (aAfter.hosts_.at(aHost).state_ != HostState::Serving) {
    return true;
  }
  // A write based on a stale document must not hide a failure that was already recorded.
  const auto before = aBefore.hosts_.find(aHost);
  return before != aBefore.hosts_.end() && before->second.state_ == HostState::Failed &&
         failedHosts_.count(aHost) > 0;
}

void
PlannerHarness::CheckBudgets(const FleetMap& aBefore, const FleetMap& aAfter)
{
  // Counts independently of the planner's code, so that an error there is detected.
  std::map<std::string, uint32_t> out;
  std::map<std::pair<std::string, std::string>, uint32_t> outInRack;
  for (const auto& [id, host] : aAfter.hosts_) {
    if (IsUnavailable(id, aBefore, aAfter)) {
      ++out[host.pool_];
      ++outInRack[{ host.pool_, host.rack_ }];
    }
  }
  for (const auto& [id, host] : aAfter.hosts_) {
    const auto before = aBefore.hosts_.find(id);
    const bool started = before != aBefore.hosts_.end() &&
                         before->second.state_ == HostState::Serving &&
                         host.state_ == HostState::Draining && host.reason_ != DrainReason::Leaving;
    if (!started) {
      continue;
    }
    RecordDrain(id);
    if (out[host.pool_] > shape_.rules_.maxUnavailableHosts_) {
      RecordViolation("P1: " + std::to_string(out[host.pool_]) + " hosts of " + host.pool_ +
                      " are unavailable");
    }
    if (outInRack[{ host.pool_, host.rack_ }] > shape_.rules_.maxPerRack_) {
      RecordViolation("P1: too many hosts of " + host.pool_ + " in " + host.rack_ +
                      " are unavailable");
    }
  }
}

void
PlannerHarness::RecordDrain(const std::string& aHost)
{
  TimePoint last = clock_.Now();
  for (const FakeEntryHost& entry : entries_) {
    const auto work = entry.inFlight_.find(aHost);
    last = work == entry.inFlight_.end() ? last : std::max(last, work->second.end_);
  }
  ++drains_;
  minDrainTime_ += last - clock_.Now();
}

std::chrono::nanoseconds
PlannerHarness::MeanMinDrainTime() const
{
  return minDrainTime_ / std::max<uint64_t>(1, drains_);
}

void
PlannerHarness::CheckReboot(const std::string& aHost)
{
  const auto host = storedFleet_.hosts_.find(aHost);
  if (host == storedFleet_.hosts_.end() || host->second.state_ != HostState::Maintenance) {
    RecordViolation("P7: " + aHost + " is rebooted but not in maintenance");
  }
  for (const FakeEntryHost& entry : entries_) {
    if (!entry.dead_ && entry.inFlight_.count(aHost) > 0) {
      RecordViolation("P7: " + aHost + " is rebooted while " + entry.id_ + " has work in flight");
    }
  }
}

void
PlannerHarness::RecordViolation(const std::string& aText)
{
  violations_.push_back(aText);
}

void
PlannerHarness::FreezeReports(bool aOn)
{
  frozenReports_.reset();
  if (aOn) {
    frozenReports_ = Reports();
  }
}

void
PlannerHarness::FailHost(const std::string& aHost)
{
  failedHosts_.insert(aHost);
  platform_.RemoveHost(aHost);
  for (FakeEntryHost& entry : entries_) {
    entry.inFlight_.erase(aHost);
  }
}

void
PlannerHarness::RepairHost(const std::string& aHost)
{
  failedHosts_.erase(aHost);
  platform_.AddHost(listed_.at(aHost));
}

std::vector<std::string>
PlannerHarness::FailRack(const std::string& aRack)
{
  std::vector<std::string> failed;
  for (const auto& [id, host] : listed_) {
    if (host.rack_ == aRack) {
      failed.push_back(id);
      FailHost(id);
    }
  }
  return failed;
}

}
