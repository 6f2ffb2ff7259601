#include "slope.h"
#include "slope_groups.h"
#include "synthetic.h"

#include "sardinespoke/fair_share.h"
#include "sardinespoke/scheduler_core.h"
#include "sardinespoke/slot_shares.h"

#include <optional>

namespace sardinespoke {

namespace {

constexpr std::chrono::milliseconds kStep{ 1 };

/// A scheduler core with a view in force and demand of all entry hosts.
class LoadedCore
{
public:
  explicit LoadedCore(const SyntheticSize& aSize)
    : view_(std::make_shared<const ConfigView>(MakeView(aSize)))
    , table_(std::make_shared<const DemandTable>(MakeDemand(aSize)))
    , core_({ EntryName(0), "zone-0", 1 })
  {
    Step(ViewEvent{ view_ });
    Step(ConfirmationEvent{ true });
    Step(TableEvent{ table_ });
  }

  void Step(const SchedulerEvent& aEvent)
  {
    now_ += kStep;
    decisions_.clear();
    core_.Step(aEvent, now_, decisions_);
  }

  /// Runs one request from submission to the end of its attempt.
  void RunRequest()
  {
    WorkItem item;
    item.service_ = "service-0000";
    item.kind_ = "service-0000/a";
    Step(SubmitEvent{ ++ticket_, item });
    if (decisions_.empty()) {
      throw std::runtime_error("a request of the measurement was queued");
    }
    if (const auto* refused = std::get_if<AdmissionError>(&decisions_[0].outcome_)) {
      throw std::runtime_error("a request of the measurement was refused: " + refused->message_);
    }
    const uint64_t grant = std::get<Grant>(decisions_[0].outcome_).id_;
    Step(ReleaseEvent{ grant, AttemptResult::Ok, std::chrono::milliseconds(1) });
  }

  void Tick() { Step(TickEvent{}); }
  void NewTable() { Step(TableEvent{ table_ }); }
  /// Another revision, so that the core takes it for a new document.
  void NewView()
  {
    auto fleet = std::make_shared<FleetMap>(*view_->fleet_);
    ++fleet->revision_;
    view_ = std::make_shared<const ConfigView>(
      ConfigView{ view_->profiles_, std::move(fleet), view_->leaving_ });
    Step(ViewEvent{ view_ });
  }

private:
  std::shared_ptr<const ConfigView> view_;
  std::shared_ptr<const DemandTable> table_;
  SchedulerCore core_;
  TimePoint now_{ std::chrono::hours(1) };
  std::vector<Decision> decisions_;
  uint64_t ticket_ = 0;
};

void
MeasureCore(std::ostream& aOut, const std::string& aSize, const std::vector<SyntheticSize>& aSizes)
{
  SlopeSeries tick{ "scheduler.tick", aSize, "cpu us", {} };
  SlopeSeries table{ "scheduler.new_demand_table", aSize, "cpu us", {} };
  SlopeSeries view{ "scheduler.new_fleet_document", aSize, "cpu us", {} };
  SlopeSeries request{ "scheduler.request", aSize, "cpu us", {} };
  SlopeSeries memory{ "scheduler.memory", aSize, "bytes", {} };
  for (const SyntheticSize& size : aSizes) {
    std::optional<LoadedCore> core;
    const double count = aSize == "profiles" ? size.profiles_ : size.workers_;
    memory.points_.emplace_back(count, HeapBytes([&]() { core.emplace(size); }));
    tick.points_.emplace_back(count, CpuMicroseconds([&]() { core->Tick(); }));
    table.points_.emplace_back(count, CpuMicroseconds([&]() { core->NewTable(); }));
    view.points_.emplace_back(count, CpuMicroseconds([&]() { core->NewView(); }));
    request.points_.emplace_back(count, CpuMicroseconds([&]() { core->RunRequest(); }));
  }
  for (const SlopeSeries& series : { tick, table, view, request, memory }) {
    WriteSlope(aOut, series);
  }
}

void
MeasureFairShare(std::ostream& aOut)
{
  SlopeSeries series{ "fair_share", "profiles of a pool", "cpu us", {} };
  for (const uint32_t count : { 27U, 89U, 178U, 355U, 710U }) {
    std::vector<ShareClaim> claims;
    for (uint32_t index = 0; index < count; ++index) {
      const auto urgency = static_cast<Urgency>(index % static_cast<uint32_t>(Urgency::Count));
      claims.push_back({ ProfileName(index), 1 + index % 40, 24, 64, urgency });
    }
    series.points_.emplace_back(count, CpuMicroseconds([&]() { FairShare(count * 20, claims); }));
  }
  WriteSlope(aOut, series);
}

PoolCapacity
MakePool(uint32_t aWorkers, uint32_t aProfiles)
{
  SyntheticSize size;
  size.workers_ = aWorkers;
  size.profiles_ = aProfiles;
  size.pools_ = 1;
  PoolCapacity pool;
  for (const auto& [id, host] : MakeFleet(size).hosts_) {
    pool.workers_.push_back(id);
  }
  for (const auto& [name, profile] : MakeProfiles(size).profiles_) {
    pool.profiles_.push_back(profile);
  }
  for (uint32_t entry = 0; entry < size.entryHosts_; ++entry) {
    pool.members_.push_back(EntryName(entry));
  }
  return pool;
}

void
MeasureSlotShares(std::ostream& aOut)
{
  SlopeSeries perWorker{ "slot_shares", "workers of a pool", "cpu us", {} };
  SlopeSeries perProfile{ "slot_shares", "profiles of a pool", "cpu us", {} };
  SyntheticSize size;
  const DemandTable table = MakeDemand(size);
  // A pool of the two-year size has 108 workers and 27 profiles.
  for (const uint32_t workers : { 54U, 108U, 363U, 725U, 1450U, 2900U }) {
    const PoolCapacity pool = MakePool(workers, 27);
    perWorker.points_.emplace_back(
      workers, CpuMicroseconds([&]() { ComputeSlotShares(pool, table, EntryName(0)); }));
  }
  for (const uint32_t profiles : { 27U, 89U, 178U, 355U, 710U }) {
    const PoolCapacity pool = MakePool(108, profiles);
    perProfile.points_.emplace_back(
      profiles, CpuMicroseconds([&]() { ComputeSlotShares(pool, table, EntryName(0)); }));
  }
  WriteSlope(aOut, perWorker);
  WriteSlope(aOut, perProfile);
}

}

void
MeasureScheduling(std::ostream& aOut)
{
  std::vector<SyntheticSize> byWorkers;
  std::vector<SyntheticSize> byProfiles;
  for (const SyntheticSize& step : SizeSteps()) {
    SyntheticSize workers;
    workers.workers_ = step.workers_;
    byWorkers.push_back(workers);
    SyntheticSize profiles;
    profiles.profiles_ = step.profiles_;
    byProfiles.push_back(profiles);
  }
  MeasureCore(aOut, "workers", byWorkers);
  MeasureCore(aOut, "profiles", byProfiles);
  MeasureFairShare(aOut);
  MeasureSlotShares(aOut);
}

}
