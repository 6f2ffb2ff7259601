#include "sardinespoke/rollout_runner.h"

#include "sardinespoke/logging.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace sardinespoke {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kListPeriod{ 700 };
constexpr milliseconds kInheritedListPeriod{ 400 };
// After this, an order that an earlier owner sent has been carried out or is refused by its fence.
constexpr milliseconds kOrderSettles{ 1600 };
constexpr milliseconds kOrderRetry{ 400 };
// After this, work that can resume from a checkpoint is interrupted to empty a host.
constexpr milliseconds kEmptyPatience{ 2500 };
constexpr int64_t kAtWork = 100; // Percent that a lasting task reports when it serves.

}

RolloutRunner::RolloutRunner(JobTable& aJobs,
                             BackendTable& aBackends,
                             RunTracker& aRuns,
                             JobJournal& aJournal,
                             BackendOrdersI& aOrders,
                             HostDirectory& aDirectory,
                             const FleetFormatI& aFormat,
                             const ClockI& aClock,
                             Leadership& aLeadership,
                             HostTimes aSettings)
  : jobs_(aJobs)
  , backends_(aBackends)
  , runs_(aRuns)
  , journal_(aJournal)
  , orders_(aOrders)
  , directory_(aDirectory)
  , format_(aFormat)
  , clock_(aClock)
  , leadership_(aLeadership)
  , settings_(aSettings)
  , ownedSince_(aClock.Now())
{
}

uint32_t
RolloutRunner::Away(const TaskRef& aTask) const
{
  const Step& step = jobs_.StepOf(aTask);
  uint32_t away = 0;
  for (const Task& task : step.tasks_) {
    if (task.phase_ != TaskPhase::Active) {
      ++away;
      continue;
    }
    const Backend& backend = backends_.At(task.backend_);
    const bool atWork =
      backend.looksFailed_ == 0 && !backend.goingDown_ &&
      std::any_of(backend.runs_.begin(), backend.runs_.end(), [&](const BackendRun& aRun) {
        return aRun.task_ && aRun.id_.run_ == task.run_ && aRun.task_->job_ == aTask.job_ &&
               aRun.phase_ == RunPhase::Running && aRun.percent_ >= kAtWork;
      });
    away += atWork ? 0 : 1;
  }
  return away;
}

uint32_t
RolloutRunner::SameStep(const Backend& aBackend, const TaskRef& aTask) const
{
  return static_cast<uint32_t>(
    std::count_if(aBackend.runs_.begin(), aBackend.runs_.end(), [&aTask](const BackendRun& aRun) {
      return aRun.task_ && aRun.task_->job_ == aTask.job_ && aRun.task_->step_ == aTask.step_;
    }));
}

bool
RolloutRunner::MayRunUnseen(const std::string& aHost) const
{
  const auto& live = backends_.Live();
  return std::any_of(live.begin(), live.end(), [&](const BackendHandle& aHandle) {
    const Backend& backend = backends_.At(aHandle);
    const bool answers = backend.verified_ && backend.looksFailed_ == 0;
    return backend.entry_.host_ == aHost && !answers && clock_.Now() <= backend.leaseEnd_;
  });
}

bool
RolloutRunner::MayInterrupt(const Backend& aBackend) const
{
  for (const BackendRun& run : aBackend.runs_) {
    if (!run.task_ || run.phase_ != RunPhase::Running) {
      return false;
    }
    const StepSpec& spec = jobs_.SpecOf(*run.task_);
    if (!spec.lasting_) {
      return false;
    }
    // Those here count whether they are at work or not.
    if (spec.mayMiss_ > 0 && Away(*run.task_) + SameStep(aBackend, *run.task_) > spec.mayMiss_) {
      return false;
    }
  }
  return true;
}

void
RolloutRunner::Empty(BackendHandle aBackend, TimePoint aSince)
{
  Backend& backend = backends_.At(aBackend);
  backend.leaving_ = true;
  const bool patient = clock_.Now() - aSince < kEmptyPatience;
  for (BackendRun& run : backend.runs_) {
    if (!run.task_ || run.phase_ != RunPhase::Running) {
      continue;
    }
    const StepSpec& spec = jobs_.SpecOf(*run.task_);
    const bool spared = spec.lasting_ ? spec.mayMiss_ > 0 && Away(*run.task_) >= spec.mayMiss_
                                      : patient || !spec.checkpointing_;
    if (!spared) {
      runs_.Stop(aBackend, run);
    }
  }
}

milliseconds
RolloutRunner::ListPeriod() const
{
  const bool inherited = std::any_of(rollouts_.begin(), rollouts_.end(), [](const auto& aRollout) {
    return aRollout.second.inherited_ && !aRollout.second.saidDone_;
  });
  return inherited ? kInheritedListPeriod : kListPeriod;
}

bool
RolloutRunner::IsBusy(const std::string& aHost) const
{
  return std::any_of(rollouts_.begin(), rollouts_.end(), [&aHost](const auto& aRollout) {
    const auto found = aRollout.second.hosts_.find(aHost);
    return found != aRollout.second.hosts_.end() && found->second.stage_ != Stage::Planned &&
           found->second.stage_ != Stage::Back;
  });
}

void
RolloutRunner::Tick(const std::map<int64_t, RolloutRequest>& aRequests)
{
  for (const auto& [number, request] : aRequests) {
    Rollout& rollout = rollouts_[number];
    if (rollout.seenAt_ != TimePoint{}) {
      continue;
    }
    rollout.request_ = request;
    rollout.seenAt_ = clock_.Now();
    for (const std::string& host : request.hosts_) {
      rollout.hosts_[host] = HostTask{};
      HostTask& task = rollout.hosts_[host];
      task.stage_ = rollout.maintained_.count(host) > 0 ? Stage::Back : Stage::Planned;
      task.inDoubt_ = task.stage_ == Stage::Planned && rollout.begun_.count(host) > 0;
    }
    Note(rollout);
    Log(LogLevel::Info,
        "rollout.seen",
        { { "rollout", number },
          { "hosts", request.hosts_.size() },
          { "max_down", request.maxDown_ },
          { "duration_ms", request.duration_.count() } });
  }
  if (!directory_.IsLoaded() || !leadership_.IsCertain() || clock_.Now() < quietUntil_) {
    return;
  }
  for (auto& [number, rollout] : rollouts_) {
    if (!rollout.saidDone_) {
      Advance(rollout);
    }
  }
}

std::string
RolloutRunner::RecordPrefix()
{
  return std::string(JobJournal::kPrefix) + "rollout/";
}

bool
RolloutRunner::Inherit(const std::string& aText)
{
  const auto record = nlohmann::json::parse(aText, nullptr, false);
  if (!record.is_object() || !record.contains("number") || !record.contains("maintained")) {
    return false;
  }
  Rollout& rollout = rollouts_[record.at("number").get<int64_t>()];
  rollout.inherited_ = true;
  rollout.maintained_ = record.at("maintained").get<std::set<std::string>>();
  rollout.begun_ = record.value("begun", std::set<std::string>());
  return true;
}

uint64_t
RolloutRunner::Note(const Rollout& aRollout)
{
  const nlohmann::json record{ { "number", aRollout.request_.number_ },
                               { "begun", aRollout.begun_ },
                               { "maintained", aRollout.maintained_ } };
  return journal_.Write(
    RecordWrite{ RecordPrefix() + std::to_string(aRollout.request_.number_), record.dump() });
}

void
RolloutRunner::Settle(Rollout& aRollout, const std::string& aHost, HostTask& aTask)
{
  const auto age = clock_.Now() - aTask.since_;
  const BackendHandle handle = backends_.OnHost(aHost);
  const bool same = handle.IsValid() && backends_.At(handle).entry_.id_ == aTask.oldBackend_;
  // A backend server that still answers shows that the host had been maintained before.
  const bool before = same && backends_.At(handle).verified_;
  // The registry may list a life that began with a move just before the maintenance and ended with
  // it; only an answer to a later look shows that a life is a new one.
  const bool returned =
    handle.IsValid() && !same && backends_.At(handle).entry_.born_ > aTask.oldBorn_ &&
    backends_.At(handle).looksFailed_ == 0 && backends_.At(handle).answeredLookSent_ > aTask.since_;
  // A host that failed or was removed after its maintenance had begun owes nothing more.
  const HostEntry* listed = directory_.Find(aHost);
  const bool ended = directory_.RequestedAt() > aTask.since_ &&
                     (!listed || listed->state_ != HostState::Maintenance);
  // Without a backend server before, only the list tells.
  const bool back =
    aTask.byList_ ? ended : before || returned || (ended && age > settings_.maintenanceTime_);
  if (!back) {
    return;
  }
  if (same) {
    backends_.At(handle).leaving_ = false;
    backends_.At(handle).goingDown_ = false;
  }
  aTask.stage_ = Stage::Back;
  aRollout.maintained_.insert(aHost);
  Note(aRollout);
  Log(LogLevel::Info,
      "host.maintained",
      { { "host", aHost }, { "rollout", aRollout.request_.number_ }, { "before", before } });
}

void
RolloutRunner::ResolveDoubts(Rollout& aRollout)
{
  if (directory_.RequestedAt() < ownedSince_ + kOrderSettles) {
    return;
  }
  for (auto& [host, task] : aRollout.hosts_) {
    if (!task.inDoubt_) {
      continue;
    }
    task.inDoubt_ = false;
    const HostEntry* listed = directory_.Find(host);
    const bool isDown = listed && listed->state_ == HostState::Maintenance;
    task.byList_ = isDown;
    task.since_ = clock_.Now();
    task.stage_ = isDown ? Stage::Down : Stage::Planned;
  }
}

void
RolloutRunner::Advance(Rollout& aRollout)
{
  const TimePoint now = clock_.Now();
  ResolveDoubts(aRollout);
  uint32_t down = 0;
  uint32_t emptying = 0;
  uint32_t back = 0;
  for (auto& [host, task] : aRollout.hosts_) {
    if (task.stage_ == Stage::Down) {
      Settle(aRollout, host, task);
    }
    const bool isDown =
      task.inDoubt_ || task.stage_ == Stage::Ordered || task.stage_ == Stage::Down;
    down += isDown ? 1 : 0;
    emptying += task.stage_ == Stage::Emptying ? 1 : 0;
    back += task.stage_ == Stage::Back ? 1 : 0;
  }
  if (back == aRollout.hosts_.size()) {
    aRollout.saidDone_ = true;
    journal_.Write(format_.RolloutStatus(aRollout.request_.number_, true));
    Log(LogLevel::Info, "rollout.done", { { "rollout", aRollout.request_.number_ } });
    return;
  }
  if (!aRollout.saidRunning_) {
    aRollout.saidRunning_ = true;
    journal_.Write(format_.RolloutStatus(aRollout.request_.number_, false));
  }
  for (auto& [host, task] : aRollout.hosts_) {
    if (task.stage_ != Stage::Emptying) {
      continue;
    }
    const BackendHandle handle = backends_.OnHost(host);
    if (handle.IsValid()) {
      Empty(handle, task.since_);
      if (!MayInterrupt(backends_.At(handle))) {
        continue;
      }
    }
    const bool noted = journal_.WritesStored() >= task.notedBy_;
    if (noted && !MayRunUnseen(host) && down < aRollout.request_.maxDown_ && now >= task.since_) {
      task.byList_ = !handle.IsValid();
      task.oldBackend_ = handle.IsValid() ? backends_.At(handle).entry_.id_ : "";
      task.oldBorn_ = handle.IsValid() ? backends_.At(handle).entry_.born_ : 0;
      if (handle.IsValid()) {
        backends_.At(handle).goingDown_ = true;
      }
      Order(aRollout, host, task);
      --emptying;
      ++down;
    }
  }
  Choose(aRollout, down, emptying);
}

void
RolloutRunner::Choose(Rollout& aRollout, uint32_t aDown, uint32_t aEmptying)
{
  std::vector<std::pair<int64_t, std::string>> planned;
  for (const auto& [host, task] : aRollout.hosts_) {
    if (task.stage_ != Stage::Planned || task.inDoubt_) {
      continue;
    }
    const BackendHandle handle = backends_.OnHost(host);
    planned.emplace_back(handle.IsValid() ? backends_.At(handle).used_.cpuMilli_ : 0, host);
  }
  // One host more than may be down is emptied ahead, so that no time passes between two.
  const uint32_t most = aRollout.request_.maxDown_ + 1;
  const uint32_t room = most - std::min(most, aDown + aEmptying);
  std::sort(planned.begin(), planned.end());
  planned.resize(std::min<size_t>(planned.size(), room));
  for (const auto& [used, host] : planned) {
    aRollout.begun_.insert(host);
  }
  const uint64_t noted = planned.empty() ? 0 : Note(aRollout);
  for (const auto& [used, host] : planned) {
    HostTask& task = aRollout.hosts_[host];
    task.stage_ = Stage::Emptying;
    task.since_ = clock_.Now();
    task.notedBy_ = noted;
  }
}

void
RolloutRunner::Order(Rollout& aRollout, const std::string& aHost, HostTask& aTask)
{
  aTask.stage_ = Stage::Ordered;
  aTask.since_ = clock_.Now();
  HostOrder order;
  order.host_ = aHost;
  order.rollout_ = aRollout.request_.number_;
  order.fence_ = leadership_.Fence();
  const int64_t number = aRollout.request_.number_;
  const std::weak_ptr<bool> alive = alive_;
  orders_.Change(order, [this, alive, number, aHost](const OrderResult& aResult) {
    if (alive.lock()) {
      OnOrdered(number, aHost, aResult);
    }
  });
}

void
RolloutRunner::OnOrdered(int64_t aRollout, const std::string& aHost, const OrderResult& aResult)
{
  Rollout& rollout = rollouts_[aRollout];
  HostTask& task = rollout.hosts_[aHost];
  Log(LogLevel::Info,
      "host.maintenance",
      { { "host", aHost },
        { "rollout", aRollout },
        { "outcome", static_cast<int>(aResult.outcome_) } });
  const TimePoint now = clock_.Now();
  switch (aResult.outcome_) {
    case OrderOutcome::Done: {
      task.stage_ = Stage::Down;
      task.since_ = now;
      const BackendHandle old = backends_.Find(task.oldBackend_);
      if (old.IsValid() && rollout.inherited_) {
        // Done now or by an earlier owner: a look tells whether it still lives.
        backends_.At(old).verified_ = false;
        backends_.At(old).nextLook_ = now;
      } else if (old.IsValid()) {
        runs_.EndLife(old, "its host is maintained");
      }
      return;
    }
    case OrderOutcome::Fenced:
      leadership_.Lose("host control has seen a higher fence");
      return;
    case OrderOutcome::Dead: // No such host.
      task.stage_ = Stage::Back;
      return;
    case OrderOutcome::Unknown:
      // It counts as down until an answer tells; the order can be repeated.
      Order(rollout, aHost, task);
      return;
    default: {
      const BackendHandle kept = backends_.Find(task.oldBackend_);
      if (kept.IsValid()) {
        backends_.At(kept).goingDown_ = false;
      }
      task.stage_ = Stage::Emptying;
      task.since_ = now + kOrderRetry;
      return;
    }
  }
}

}
