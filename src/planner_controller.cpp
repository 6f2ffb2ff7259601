#include "sardinespoke/planner_controller.h"

#include <algorithm>
#include <utility>

namespace sardinespoke {

PlannerController::PlannerController(PlannerSettings aSettings,
                                     KeyValueStoreI& aStore,
                                     HostListI& aHostList,
                                     HostControlI& aHostControl,
                                     PlannerInputsI& aInputs,
                                     const ClockI& aClock,
                                     EventLogI* aEvents)
  : settings_(std::move(aSettings))
  , hostList_(aHostList)
  , hostControl_(aHostControl)
  , inputs_(aInputs)
  , clock_(aClock)
  , events_(aEvents)
  , fleetStore_(aStore, settings_.keyPrefix_ + "config/fleet")
  , leaderLease_(aStore,
                 aClock,
                 settings_.keyPrefix_ + "duty/planner",
                 settings_.entryHost_ + "/" + settings_.incarnation_,
                 settings_.leaseTtl_)
  , core_(settings_.options_, settings_.entryHost_)
{
}

PlannerController::~PlannerController()
{
  Shutdown();
}

void
PlannerController::Init()
{
  stop_ = false;
  thread_ = std::thread([this] { Run(); });
}

void
PlannerController::Shutdown()
{
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    stop_ = true;
  }
  stopSignal_.notify_all();
  if (thread_.joinable()) {
    thread_.join();
    leaderLease_.Release();
  }
}

void
PlannerController::Run()
{
  std::unique_lock<std::mutex> lock(mutex_);
  while (!stop_) {
    lock.unlock();
    Step();
    lock.lock();
    stopSignal_.wait_for(lock, settings_.stepInterval_, [this] { return stop_; });
  }
}

PlannerController::Outcome
PlannerController::Step()
{
  const ConfigView view = inputs_.Documents();
  const bool held = leaderLease_.AcquireOrRenew(view.fleet_ ? view.fleet_->revision_ : 0);
  if (held != holder_) {
    Record(held ? "planner.taken" : "planner.lost", "planner lease", {});
  }
  holder_ = held;
  return held ? StepAsHolder(view) : Outcome::NotHolder;
}

PlannerController::Outcome
PlannerController::StepAsHolder(const ConfigView& aView)
{
  PlannerObservation observed;
  // Entry records and power states are read before the document, so that they are never newer than
  // the document and little time passes between reading the document and the decision.
  if (!aView.profiles_ || !Observe(observed, aView)) {
    return Outcome::Waiting;
  }
  const TimePoint readAt = clock_.Now();
  leaf::result<FleetRead> stored = fleetStore_.Read();
  if (!stored) {
    return Outcome::Failed;
  }
  observed.now_ = clock_.Now();
  return StepOnDocument(observed, aView, *stored, readAt);
}

bool
PlannerController::Observe(PlannerObservation& aObserved, const ConfigView& aView)
{
  aObserved.profiles_ = *aView.profiles_;
  leaf::result<std::vector<EntryReport>> entries = inputs_.EntryReports();
  if (!entries) {
    return false;
  }
  aObserved.entries_ = std::move(*entries);
  leaf::result<HostListSnapshot> list = hostList_.Fetch();
  if (list) {
    aObserved.list_ = std::move(*list);
  }
  aObserved.demandSlots_ = inputs_.DemandSlots();
  const std::vector<std::string> polled =
    core_.HostsToPoll(lastFleet_, aObserved.list_, aObserved.entries_, settings_.maxPowerPolls_);
  for (const std::string& host : polled) {
    leaf::try_handle_all(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_AUTO(power, hostControl_.Power(host));
        aObserved.power_[host] = { true, power };
        return {};
      },
      [&](const StoreError& aError) {
        if (aError.code_ == StoreError::Code::NotFound) {
          aObserved.power_[host] = { false, {} };
        }
      },
      [] {});
  }
  return true;
}

PlannerController::Outcome
PlannerController::StepOnDocument(PlannerObservation& aObserved,
                                  const ConfigView& aView,
                                  FleetRead& aStored,
                                  TimePoint aReadAt)
{
  const FleetMap* inForce = aView.fleet_.get();
  const FleetMap& fleet = aStored.fleet_;
  const bool readable = aStored.version_ != 0 && aStored.malformed_.empty();
  const bool differs =
    readable && inForce != nullptr && inForce->revision_ == fleet.revision_ && *inForce != fleet;
  if (inForce != nullptr && (!readable || differs || inForce->revision_ > fleet.revision_)) {
    return WriteBack(*inForce, aStored);
  }
  if (!aStored.malformed_.empty()) {
    Record("fleet.malformed", aStored.malformed_, {});
    return Outcome::Failed;
  }
  const bool behind =
    std::any_of(aObserved.entries_.begin(),
                aObserved.entries_.end(),
                [&](const EntryReport& aEntry) { return aEntry.fleetRevision_ > fleet.revision_; });
  if (behind) {
    return Outcome::Waiting;
  }
  // A member may have created the document by joining.
  if (fleet.hosts_.empty()) {
    return WriteFirstFleet(aObserved, aStored);
  }
  if (lastFleet_.revision_ != fleet.revision_ || lastFleet_.changeId_ != fleet.changeId_) {
    lastFleet_ = fleet;
  }
  aObserved.fleet_ = std::move(aStored.fleet_);
  PlannerStep step = core_.Decide(aObserved, NextChangeId());
  Reboot(step.reboot_, aReadAt);
  if (!step.next_) {
    return Outcome::Idle;
  }
  const TimePoint writtenAt = clock_.Now();
  const Outcome outcome = WriteFleet(*step.next_, aStored.version_, Outcome::Written);
  if (outcome == Outcome::Written) {
    // The compare-and-swap succeeded after writtenAt, so the document was current at that time.
    Reboot(step.rebootAfterWrite_, writtenAt);
    lastFleet_ = *step.next_;
    for (const PlannerEvent& event : step.events_) {
      Record(event.type_,
             event.cause_,
             { { "host", event.host_ }, { "revision", lastFleet_.revision_ } });
    }
  }
  return outcome;
}

PlannerController::Outcome
PlannerController::WriteFirstFleet(const PlannerObservation& aObserved, const FleetRead& aStored)
{
  if (!aObserved.list_) {
    return Outcome::Waiting;
  }
  const std::optional<FleetMap> first =
    core_.FirstDocument(aStored.fleet_, *aObserved.list_, aObserved.profiles_, NextChangeId());
  if (!first) {
    return Outcome::Waiting;
  }
  Record("fleet.created", "the fleet document has no hosts", { { "hosts", first->hosts_.size() } });
  return WriteFleet(*first, aStored.version_, Outcome::Written);
}

PlannerController::Outcome
PlannerController::WriteBack(const FleetMap& aInForce, const FleetRead& aStored)
{
  FleetMap fleet = aInForce;
  if (!aStored.malformed_.empty() || aStored.fleet_.revision_ == aInForce.revision_) {
    // The stored document has the same revision but other content, or is malformed, so the document
    // in force gets a new revision to be distinguishable from it.
    fleet.BeginWrite(settings_.entryHost_, NextChangeId());
  }
  Record("fleet.written_back",
         "the store has an older or different document",
         { { "stored", aStored.fleet_.revision_ }, { "in_force", aInForce.revision_ } });
  return WriteFleet(fleet, aStored.version_, Outcome::WroteBack);
}

PlannerController::Outcome
PlannerController::WriteFleet(const FleetMap& aFleet, uint64_t aVersion, Outcome aDone)
{
  return leaf::try_handle_all(
    [&]() -> leaf::result<Outcome> {
      BOOST_LEAF_CHECK(fleetStore_.Write(aFleet, aVersion));
      return aDone;
    },
    [&](const PlannerError& aError) {
      Record("planner.write_failed", aError.message_, { { "error", CodeName(aError.code_) } });
      return Outcome::Failed;
    },
    [] { return Outcome::Failed; });
}

void
PlannerController::Reboot(const std::vector<std::string>& aHosts, TimePoint aReadAt)
{
  for (const std::string& host : aHosts) {
    // Checked immediately before the call: if this process was paused, another planner may have
    // returned the host to service.
    if (clock_.Now() - aReadAt > settings_.maxRebootDocumentAge_) {
      Record("host.reboot_skipped", "the document was read too long ago", { { "host", host } });
      continue;
    }
    const bool called = static_cast<bool>(hostControl_.Reboot(host));
    Record(called ? "host.reboot_called" : "host.reboot_unanswered",
           "it is in maintenance",
           { { "host", host } });
  }
}

void
PlannerController::Record(const std::string& aType,
                          const std::string& aCause,
                          nlohmann::json aDetail)
{
  if (events_ != nullptr) {
    events_->Record(aType, aCause, std::move(aDetail));
  }
}

std::string
PlannerController::NextChangeId()
{
  return settings_.entryHost_ + "." + settings_.incarnation_ + ".p" + std::to_string(++changes_);
}

}
