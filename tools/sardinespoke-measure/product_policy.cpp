#include "product_policy.h"

#include <algorithm>

namespace sardinespoke {

namespace {

constexpr std::chrono::milliseconds kExchangeInterval{ 100 };
constexpr std::chrono::seconds kSilenceLimit{ 1 };
const char* const kPool = "shared";

std::string
Numbered(const char* aPrefix, size_t aNumber)
{
  return aPrefix + std::to_string(100 + aNumber);
}

std::shared_ptr<const ConfigView>
MakeView(const FloodScenario& aScenario)
{
  ProfileSet profiles;
  FleetMap fleet;
  const auto slots = static_cast<uint32_t>(aScenario.workers_ * aScenario.slotsPerWorker_);
  profiles.pools_[kPool].name_ = kPool;
  profiles.pools_[kPool].slotsPerHost_ = aScenario.slotsPerWorker_;
  for (const FloodQueue& queue : aScenario.queues_) {
    Profile profile;
    profile.name_ = queue.name_;
    profile.team_ = queue.name_;
    profile.entitledSlots_ = queue.entitledSlots_;
    profile.maxSlots_ = slots;
    profile.urgency_ = queue.urgency_;
    profiles.profiles_[queue.name_] = profile;
    profiles.services_[queue.name_] = { queue.name_, kPool, queue.name_ };
  }
  for (size_t worker = 0; worker < aScenario.workers_; ++worker) {
    FleetHost host;
    host.id_ = Numbered("w", worker);
    host.zone_ = Numbered("zone", worker % 3);
    host.pool_ = kPool;
    fleet.hosts_[host.id_] = host;
  }
  for (size_t entry = 0; entry < aScenario.entryHosts_; ++entry) {
    fleet.members_[Numbered("e", entry)].id_ = Numbered("e", entry);
  }
  auto view = std::make_shared<ConfigView>();
  view->profiles_ = std::make_shared<ProfileSet>(profiles);
  view->fleet_ = std::make_shared<FleetMap>(fleet);
  view->leaving_ = std::make_shared<std::set<std::string>>();
  return view;
}

}

ProductPolicy::ProductPolicy(const FloodScenario& aScenario)
  : scenario_(aScenario)
  , hosts_(aScenario.entryHosts_)
{
  for (size_t worker = 0; worker < aScenario.workers_; ++worker) {
    workerNames_.push_back(Numbered("w", worker));
    workerIndex_[workerNames_.back()] = worker;
  }
  const auto view = MakeView(aScenario);
  const TimePoint start;
  for (size_t host = 0; host < hosts_.size(); ++host) {
    const SchedulerSettings settings{ Numbered("e", host),
                                      Numbered("zone", host % 3),
                                      aScenario.seed_ * 100 + host };
    hosts_[host].core_ = std::make_unique<SchedulerCore>(settings);
    Step(host, ViewEvent{ view }, start);
    Step(host, ConfirmationEvent{ true }, start);
  }
}

void
ProductPolicy::Submit(const PolicyRequest& aRequest, TimePoint aNow)
{
  SubmitEvent event;
  event.ticket_ = aRequest.id_;
  event.item_.service_ = scenario_.queues_[aRequest.queue_].name_;
  event.item_.kind_ = aRequest.kind_;
  event.item_.deadline_ = aRequest.deadline_;
  event.item_.retry_ = aRequest.retry_;
  if (aRequest.avoidWorker_.has_value()) {
    event.item_.avoidHost_ = workerNames_[*aRequest.avoidWorker_];
  }
  Step(aRequest.entryHost_, event, aNow);
}

void
ProductPolicy::Release(uint64_t aRequest,
                       AttemptResult aResult,
                       std::chrono::nanoseconds aRunTime,
                       TimePoint aNow)
{
  const Running running = running_.at(aRequest);
  running_.erase(aRequest);
  Step(running.entryHost_, ReleaseEvent{ running.grant_, aResult, aRunTime }, aNow);
}

void
ProductPolicy::Tick(TimePoint aNow)
{
  for (size_t host = 0; host < hosts_.size(); ++host) {
    if (hosts_[host].nextExchange_ == TimePoint()) {
      // The entry hosts are started at different moments.
      hosts_[host].nextExchange_ = aNow + kExchangeInterval * host / hosts_.size();
    }
    Step(host, TickEvent{}, aNow);
    if (aNow >= hosts_[host].nextExchange_) {
      Exchange(host, aNow);
    }
  }
}

std::vector<PolicyDecision>
ProductPolicy::TakeDecisions()
{
  return std::exchange(decisions_, {});
}

uint64_t
ProductPolicy::WorkersRemoved() const
{
  uint64_t removed = 0;
  for (const EntryHost& host : hosts_) {
    removed += host.core_->Counters().workersEjected_ + host.core_->Counters().breakersOpened_;
  }
  return removed;
}

void
ProductPolicy::Step(size_t aHost, const SchedulerEvent& aEvent, TimePoint aNow)
{
  stepOut_.clear();
  hosts_[aHost].core_->Step(aEvent, aNow, stepOut_);
  if (stepOut_.empty()) {
    return;
  }
  const std::vector<std::string> suspects = hosts_[aHost].core_->Suspects(aNow);
  for (const Decision& decision : stepOut_) {
    PolicyDecision out;
    out.id_ = decision.ticket_;
    if (const auto* grant = std::get_if<Grant>(&decision.outcome_)) {
      out.worker_ = workerIndex_.at(grant->host_);
      out.probe_ = std::count(suspects.begin(), suspects.end(), grant->host_) > 0;
      running_[out.id_] = { aHost, grant->id_ };
    }
    decisions_.push_back(out);
  }
}

void
ProductPolicy::Exchange(size_t aHost, TimePoint aNow)
{
  EntryHost& self = hosts_[aHost];
  self.nextExchange_ += kExchangeInterval;
  const DemandReport report = self.core_->TakeDemand();
  for (EntryHost& host : hosts_) {
    const auto delay = &host == &self ? std::chrono::microseconds(0) : scenario_.networkDelay_;
    host.inbox_.push_back({ aNow + delay, report });
  }
  for (auto& entry : self.inbox_) {
    if (entry.due_ > aNow) {
      continue;
    }
    self.heard_[entry.report_.entryHost_] = entry.due_;
    self.table_.byEntryHost_[entry.report_.entryHost_] = entry.report_;
  }
  std::erase_if(self.inbox_, [&](const Report& aReport) { return aReport.due_ <= aNow; });
  std::erase_if(self.table_.byEntryHost_, [&](const auto& aEntry) {
    return aNow - self.heard_[aEntry.first] > kSilenceLimit;
  });
  Step(aHost, TableEvent{ std::make_shared<DemandTable>(self.table_) }, aNow);
}

}
