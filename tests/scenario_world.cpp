#include "scenario_entry.h"

#include "sardinespoke/profile_editor.h"

#include <algorithm>
#include <fstream>
#include <sstream>

namespace sardinespoke {

namespace {

constexpr milliseconds kTickPeriod{ 5 };       // As in the scheduler's thread.
constexpr milliseconds kControlPeriod{ 100 };  // Between steps of config sync.
constexpr milliseconds kPlannerPeriod{ 500 };  // Between steps of the planner.
constexpr milliseconds kExchangePeriod{ 100 }; // As in the scheduler's thread.
// For the first document, the members and the first acknowledgements.
constexpr milliseconds kStartupTime{ 12000 };
constexpr size_t kPools = 5;
constexpr size_t kHosts = 50;
constexpr size_t kHostsPerRack = 4;
constexpr size_t kZones = 3;
constexpr const char* kKeyPrefix = "sardinespoke/";

std::string
ReadFile(const std::string& aPath)
{
  std::ifstream file(aPath);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

std::string
Address(const std::string& aId)
{
  return "peer:" + aId;
}

}

ScenarioWorld::ScenarioWorld(const ScenarioConfig& aShape)
  : config_(aShape)
  , boot_(clock_.Now())
  , random_(aShape.seed_)
  , platform_(clock_, { false, aShape.rebootTime_ })
  , nextControl_(clock_.Now())
  , nextPlanner_(clock_.Now())
{
  const std::string path =
    std::string(SOURCE_DIR) + "/examples/" + aShape.deployment_ + ".profiles.json";
  ProfileEditor profiles(platform_, kKeyPrefix);
  static_cast<void>(profiles.ApplyDocument(ReadFile(path), { "first", "operator", 0 }));
  rules_ = std::make_unique<ProfileSet>(profiles.Read().value());
  editor_ = std::make_unique<FleetEditor>(platform_, kKeyPrefix, "operator", "operator.1");
  BuildHosts();
  for (size_t i = 0; i < aShape.entryHosts_; ++i) {
    entryIds_.push_back("entry-" + std::to_string(i + 1));
    AddEntry(entryIds_.back(), i);
  }
  if (aShape.allPlannersLead_ && entryIds_.size() > 1) {
    // The second planner acts between the decision of the first and its write.
    entries_.at(entryIds_[0])->plannerStore_.beforeFleetWrite_ = [this] {
      entries_.at(entryIds_[1])->planner_.Step();
      ObserveStore();
    };
  }
  for (const auto& [name, service] : rules_->services_) {
    const Profile& profile = rules_->profiles_.at(service.profile_);
    ScenarioQueue& queue = results_.queues_[name];
    queue.pool_ = service.pool_;
    queue.profile_ = service.profile_;
    queue.urgent_ = profile.urgency_ == Urgency::Urgent;
    queue.entitledSlots_ = profile.entitledSlots_;
  }
  start_ = clock_.Now() + kStartupTime;
  for (milliseconds passed{ 0 }; passed < kStartupTime; passed += kControlPeriod) {
    Step(kControlPeriod);
  }
}

ScenarioWorld::~ScenarioWorld() = default;

void
ScenarioWorld::BuildHosts()
{
  for (size_t i = 0; i < kHosts; ++i) {
    const size_t rack = i / kHostsPerRack;
    ListedHost host;
    host.id_ = "w" + std::to_string(100 + i);
    host.address_ = "127.0.0.1:" + std::to_string(20000 + i);
    host.rack_ = "r" + std::to_string(rack);
    host.zone_ = "z" + std::to_string(rack % kZones);
    host.region_ = "region";
    listedHosts_[host.id_] = host;
    platform_.AddHost(host);
  }
}

ConfigSyncSettings
ScenarioWorld::SyncSettings(const std::string& aId)
{
  const auto index = std::find(entryIds_.begin(), entryIds_.end(), aId) - entryIds_.begin();
  ConfigSyncSettings settings;
  settings.id_ = aId;
  settings.process_ = "p" + std::to_string(++processCount_);
  settings.peer_ = Address(aId);
  settings.zone_ = "z" + std::to_string(static_cast<size_t>(index) % kZones);
  settings.watchWait_ = milliseconds(0);
  for (const std::string& other : entryIds_) {
    settings.seedPeers_.push_back(Address(other));
  }
  return settings;
}

void
ScenarioWorld::AddEntry(const std::string& aId, size_t aIndex)
{
  entries_.erase(aId);
  auto entry = std::make_unique<EntryHost>(*this, SyncSettings(aId), config_.seed_ * 100 + aIndex);
  // Staggers the demand exchange of the entry hosts.
  entry->nextExchange_ = clock_.Now() + kExchangePeriod * aIndex / config_.entryHosts_;
  entries_[aId] = std::move(entry);
}

std::vector<DemandPeer>
ScenarioWorld::Peers(const std::string& aId) const
{
  std::vector<DemandPeer> peers;
  for (const auto& [id, record] : entries_.at(aId)->sync_.Roster()) {
    if (id != aId) {
      peers.push_back({ id, record.peer_ });
    }
  }
  return peers;
}

std::vector<std::string>
ScenarioWorld::Services() const
{
  std::vector<std::string> names;
  for (const auto& [name, service] : rules_->services_) {
    names.push_back(name);
  }
  return names;
}

bool
ScenarioWorld::HasRack(const std::string& aRack) const
{
  return std::any_of(listedHosts_.begin(), listedHosts_.end(), [&](const auto& aItem) {
    return aItem.second.rack_ == aRack;
  });
}

milliseconds
ScenarioWorld::Elapsed() const
{
  return std::chrono::duration_cast<milliseconds>(clock_.Now() - start_);
}

void
ScenarioWorld::At(milliseconds aTime, std::function<void()> aAction)
{
  actions_.emplace(aTime, std::move(aAction));
}

void
ScenarioWorld::Run(milliseconds aDuration)
{
  for (const auto& [service, rules] : rules_->services_) {
    ScheduleArrival(service);
  }
  while (Elapsed() < aDuration) {
    Step(IsIdle() ? kControlPeriod : kTickPeriod);
  }
}

void
ScenarioWorld::Finish()
{
  // Covers the longest queue limit and run limit of the examples.
  constexpr milliseconds kDrainTimeout{ 90000 };
  loadStopped_ = true;
  const TimePoint end = clock_.Now() + kDrainTimeout;
  while (!requests_.empty() && clock_.Now() < end) {
    Step(kTickPeriod);
  }
  results_.undecidedRequests_ = requests_.size();
  const PlatformSnapshot stored = platform_.TakeSnapshot();
  const auto fleet = FleetMap::Parse(stored.at(std::string(kKeyPrefix) + "config/fleet"));
  results_.lostRevisions_ =
    acceptedFleet_.revision_ - std::min(acceptedFleet_.revision_, fleet->revision_);
}

bool
ScenarioWorld::IsIdle() const
{
  return loads_.empty() && requests_.empty();
}

void
ScenarioWorld::Step(milliseconds aStep)
{
  RunEvents(clock_.Now() + aStep);
  while (!actions_.empty() && actions_.begin()->first <= Elapsed()) {
    const auto action = std::move(actions_.begin()->second);
    actions_.erase(actions_.begin());
    action();
    ObserveStore();
  }
  if (clock_.Now() >= nextControl_) {
    nextControl_ = clock_.Now() + kControlPeriod;
    StepControl();
  }
  for (auto& [id, entry] : entries_) {
    if (!entry->paused_) {
      StepScheduler(*entry);
    }
  }
  ObserveQueues(aStep);
}

void
ScenarioWorld::StepControl()
{
  for (auto& [id, entry] : entries_) {
    if (entry->paused_) {
      continue;
    }
    const auto suspects = entry->core_.Suspects(clock_.Now());
    entry->sync_.SetSuspects({ suspects.begin(), suspects.end() });
    entry->sync_.Acknowledge(entry->fleetRevision_, BusyHosts(*entry));
    entry->sync_.SetHoldsPlannerLease(entry->planner_.IsHolder());
    entry->sync_.Step();
    ObserveStore();
  }
  if (clock_.Now() >= nextPlanner_) {
    nextPlanner_ = clock_.Now() + kPlannerPeriod;
    for (auto& [id, entry] : entries_) {
      if (entry->paused_ || entry->plannerPaused_) {
        continue;
      }
      entry->planner_.Step();
      ObserveStore();
    }
  }
  ObserveViews();
}

std::set<std::string>
ScenarioWorld::BusyHosts(const EntryHost& aEntry) const
{
  std::set<std::string> busy;
  const auto view = aEntry.sync_.Current();
  for (const auto& [id, request] : requests_) {
    if (request.process_ != aEntry.process_ || request.host_.empty()) {
      continue;
    }
    const bool leaving = view->leaving_ && view->leaving_->contains(request.host_);
    const auto host = view->fleet_->hosts_.find(request.host_);
    if (leaving || host == view->fleet_->hosts_.end() ||
        host->second.state_ != HostState::Serving) {
      busy.insert(request.host_);
    }
  }
  return busy;
}

void
ScenarioWorld::StepScheduler(EntryHost& aEntry)
{
  DeliverView(aEntry);
  const bool may = aEntry.sync_.MayDispatch() || config_.mutant_ == ScenarioMutant::AlwaysDispatch;
  if (may != aEntry.mayDispatch_) {
    aEntry.mayDispatch_ = may;
    aEntry.mayDispatchSince_ = clock_.Now();
    ApplySchedulerEvent(aEntry, ConfirmationEvent{ may });
  }
  ApplySchedulerEvent(aEntry, TickEvent{});
  if (clock_.Now() >= aEntry.nextExchange_) {
    aEntry.nextExchange_ = clock_.Now() + kExchangePeriod;
    Exchange(aEntry);
  }
}

void
ScenarioWorld::Exchange(EntryHost& aEntry)
{
  aEntry.exchange_.Publish(aEntry.core_.TakeDemand());
  aEntry.exchange_.Step();
  const auto table = aEntry.exchange_.Table();
  if (table != aEntry.demandTable_) {
    aEntry.demandTable_ = table;
    ApplySchedulerEvent(aEntry, TableEvent{ table });
  }
}

void
ScenarioWorld::DeliverView(EntryHost& aEntry)
{
  constexpr std::chrono::seconds kHoldDelay{ 20 }; // Exceeds the propagation limit of 16 s.
  const auto current = ViewFor(aEntry);
  if (current != aEntry.syncedView_) {
    aEntry.syncedView_ = current;
    const bool hold = config_.mutant_ == ScenarioMutant::HoldChanges && Elapsed().count() > 0;
    aEntry.delayedViews_.emplace_back(clock_.Now() + (hold ? kHoldDelay : kHoldDelay * 0), current);
  }
  if (aEntry.delayedViews_.empty() || clock_.Now() < aEntry.delayedViews_.front().first) {
    return;
  }
  std::shared_ptr<const ConfigView> view = aEntry.delayedViews_.front().second;
  aEntry.delayedViews_.erase(aEntry.delayedViews_.begin());
  if (!view->fleet_ || !view->profiles_) {
    return;
  }
  if (view->fleet_->revision_ < aEntry.fleetRevision_ ||
      view->profiles_->revision_ < aEntry.profilesRevision_) {
    RecordViolation("P8", aEntry.id_ + " applied an older document");
  }
  aEntry.fleetRevision_ = view->fleet_->revision_;
  aEntry.profilesRevision_ = view->profiles_->revision_;
  aEntry.schedulerView_ = view;
  auto given = std::make_shared<ConfigView>(*view);
  if (config_.mutant_ == ScenarioMutant::IgnoreEntitlements) {
    auto profiles = std::make_shared<ProfileSet>(*view->profiles_);
    for (auto& [name, profile] : profiles->profiles_) {
      profile.entitledSlots_ = 0;
    }
    given->profiles_ = profiles;
  }
  if (config_.mutant_ == ScenarioMutant::IgnoreLeaving) {
    given->leaving_ = std::make_shared<std::set<std::string>>();
  }
  ApplySchedulerEvent(aEntry, ViewEvent{ given });
}

std::shared_ptr<const ConfigView>
ScenarioWorld::ViewFor(const EntryHost& aEntry) const
{
  auto view = aEntry.sync_.Current();
  if (config_.mutant_ != ScenarioMutant::FollowStore || !view->fleet_) {
    return view;
  }
  const PlatformSnapshot stored = platform_.TakeSnapshot();
  const auto fleet = FleetMap::Parse(stored.at(std::string(kKeyPrefix) + "config/fleet"));
  if (fleet->revision_ >= view->fleet_->revision_ ||
      (aEntry.syncedView_ && aEntry.syncedView_->fleet_->revision_ == fleet->revision_)) {
    return fleet->revision_ >= view->fleet_->revision_ ? view : aEntry.syncedView_;
  }
  auto old = std::make_shared<ConfigView>(*view);
  old->fleet_ = std::make_shared<FleetMap>(*fleet);
  return old;
}

void
ScenarioWorld::FailRack(const std::string& aRack, bool aFailed)
{
  for (const auto& [id, host] : listedHosts_) {
    if (host.rack_ != aRack) {
      continue;
    }
    if (aFailed) {
      downHosts_.insert(id);
      platform_.RemoveHost(id);
    } else {
      downHosts_.erase(id);
      platform_.AddHost(host);
    }
  }
}

void
ScenarioWorld::SetStoreDown(bool aDown)
{
  platform_.ChangeFaults([&](PlatformFaults& aFaults) { aFaults.storeDown_ = aDown; });
}

void
ScenarioWorld::PauseEntry(const std::string& aId, bool aPaused)
{
  entries_.at(aId)->paused_ = aPaused;
  network_.Isolate(Address(aId), aPaused); // A paused process does not respond.
}

void
ScenarioWorld::PausePlanner(bool aPaused)
{
  for (auto& [id, entry] : entries_) {
    entry->plannerPaused_ = aPaused && entry->planner_.IsHolder();
  }
}

void
ScenarioWorld::IsolateEntry(const std::string& aId, bool aIsolated)
{
  network_.Isolate(Address(aId), aIsolated);
  platform_.ChangeFaults([&](PlatformFaults& aFaults) {
    if (aIsolated) {
      aFaults.cutOffClients_.insert(aId);
    } else {
      aFaults.cutOffClients_.erase(aId);
    }
  });
}

void
ScenarioWorld::IsolateZone(const std::string& aZone, bool aIsolated)
{
  for (const auto& [id, entry] : entries_) {
    if (entry->zone_ != aZone) {
      continue;
    }
    for (const auto& [other, otherEntry] : entries_) {
      if (otherEntry->zone_ != aZone) {
        network_.Partition(Address(id), Address(other), aIsolated);
      }
    }
    platform_.ChangeFaults([&, client = id](PlatformFaults& aFaults) {
      if (aIsolated) {
        aFaults.cutOffClients_.insert(client);
      } else {
        aFaults.cutOffClients_.erase(client);
      }
    });
  }
}

void
ScenarioWorld::ReplaceEntry(const std::string& aId)
{
  const std::string process = entries_.at(aId)->process_;
  std::erase_if(requests_, [&](const auto& aItem) {
    const Request& request = aItem.second;
    if (request.process_ != process) {
      return false;
    }
    if (request.running_) {
      --busy_[request.host_];
    }
    return true;
  });
  const auto index = std::find(entryIds_.begin(), entryIds_.end(), aId) - entryIds_.begin();
  AddEntry(aId, static_cast<size_t>(index));
}

void
ScenarioWorld::ReplaceAllEntries()
{
  for (const std::string& id : entryIds_) {
    ReplaceEntry(id);
  }
}

void
ScenarioWorld::MarkLeaving(const std::string& aHost)
{
  platform_.MarkLeaving(aHost);
  leavingSince_[aHost] = clock_.Now();
}

void
ScenarioWorld::FailAllWork(const std::string& aHost, bool aFailing)
{
  if (aFailing) {
    failingSince_[aHost] = clock_.Now();
  } else {
    failingSince_.erase(aHost);
  }
}

void
ScenarioWorld::StartRollout()
{
  static_cast<void>(editor_->StartRollout(0, "operator"));
  results_.rolloutStart_ = Elapsed();
}

void
ScenarioWorld::RaceEdits(const std::string& aProfile)
{
  ProfileEditor editor(platform_, kKeyPrefix);
  const uint64_t base = editor.Read().value().revision_;
  for (const char* author : { "ann", "ben" }) {
    ProfileSet current = editor.Read().value();
    const bool blind = config_.mutant_ == ScenarioMutant::BlindEdits;
    current.profiles_.at(aProfile).queueLength_ += author[0] == 'a' ? 1 : 2;
    ++edits_;
    const EditRequest request{ "edit-" + std::to_string(edits_),
                               author,
                               blind ? current.revision_ : base };
    ++results_.racingEdits_;
    const auto accepted = editor.ApplyDocument(current.Serialize(), request);
    results_.acceptedRacingEdits_ += accepted ? 1 : 0;
    ObserveStore();
  }
}

void
ScenarioWorld::EditProfile(const std::string& aProfile)
{
  ProfileEditor editor(platform_, kKeyPrefix);
  auto current = editor.Read();
  if (!current) {
    return;
  }
  ++current->profiles_.at(aProfile).queueLength_;
  static_cast<void>(editor.ApplyDocument(
    current->Serialize(), { "edit-" + std::to_string(++edits_), "ann", current->revision_ }));
}

void
ScenarioWorld::RecordViolation(const std::string& aRule, const std::string& aText)
{
  auto& found = results_.violations_[aRule];
  if (found.size() < 20) {
    found.push_back("at " + std::to_string(Elapsed().count()) + " ms " + aText);
  }
}

}
