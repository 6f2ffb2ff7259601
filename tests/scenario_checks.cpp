#include "scenario_forms.h"

#include <algorithm>
#include <cmath>
#include <sstream>

namespace sardinespoke {

namespace {

/// A p99 wait below this counts as this much, as in sardinespoke-measure: below it, the ratio
/// compares the network delay and single slots.
constexpr double kWaitFloor = 0.010;

using Runner = ScenarioRunner;

double
Quantile(std::vector<double> aValues, double aQuantile)
{
  if (aValues.empty()) {
    return 0;
  }
  std::sort(aValues.begin(), aValues.end());
  const auto index = static_cast<size_t>(aQuantile * static_cast<double>(aValues.size()));
  return aValues[std::min(index, aValues.size() - 1)];
}

std::string
Text(double aNumber)
{
  std::ostringstream text;
  text << aNumber;
  return text.str();
}

std::string
Text(std::chrono::milliseconds aTime)
{
  return Text(static_cast<double>(aTime.count()) / 1000) + " s";
}

/// @returns Seconds of work that the queue is entitled to: its offered work, in each second at most
/// its entitlement.
double
EntitledWork(const ScenarioQueue& aQueue)
{
  double entitled = 0;
  for (const auto& [second, work] : aQueue.offered_) {
    entitled += std::min(work, static_cast<double>(aQueue.entitledSlots_));
  }
  return entitled;
}

}

std::string
ScenarioRunner::Violations(const std::string& aRule) const
{
  const auto& all = world_->Results().violations_;
  const auto found = all.find(aRule);
  return found == all.end() ? "" : found->second.front();
}

std::string
ScenarioRunner::CheckEntitlements(const Values& aValues)
{
  std::string failure;
  for (const auto& [name, queue] : world_->Results().queues_) {
    const double entitled = EntitledWork(queue);
    const double kept = entitled > 0 ? queue.startedWork_ / entitled * 100 : 100;
    if (kept < aValues[0].number_) {
      failure += name + " kept " + Text(kept) + " %; ";
    }
  }
  return failure;
}

std::string
ScenarioRunner::CheckWaits(const Values& aValues)
{
  auto own = std::move(world_);
  const std::set<std::string> flooding = flooding_;
  const auto without = RunWorld(false);
  world_ = std::move(own);
  const ScenarioResults& with = world_->Results();
  std::string failure;
  for (const auto& [name, queue] : with.queues_) {
    if (flooding.contains(name)) {
      continue;
    }
    const double wait = Quantile(queue.waits_, 0.99);
    const double usual =
      std::max(Quantile(without->Results().queues_.at(name).waits_, 0.99), kWaitFloor);
    if (wait > usual * aValues[0].number_) {
      failure += name + " waits " + Text(wait) + " s instead of " + Text(usual) + " s; ";
    }
  }
  return failure;
}

std::string
ScenarioRunner::CheckUrgent(const Values& aValues)
{
  const double limit = std::chrono::duration<double>(aValues[0].time_).count();
  std::string failure;
  for (const auto& [name, queue] : world_->Results().queues_) {
    const double wait = Quantile(queue.waits_, 0.999);
    if (queue.urgent_ && wait > limit) {
      failure += name + " waits " + Text(wait) + " s; ";
    }
  }
  return failure;
}

std::string
ScenarioRunner::CheckBusy(const Values& aValues)
{
  std::string failure;
  for (const std::string& name : flooding_) {
    const ScenarioQueue& queue = world_->Results().queues_.at(name);
    const double part = queue.slotSeconds_ > 0 ? queue.heldSeconds_ / queue.slotSeconds_ : 1;
    if (part * 100 < aValues[0].number_) {
      failure += "with " + name + " it was " + Text(part * 100) + " %; ";
    }
  }
  return failure;
}

std::string
ScenarioRunner::CheckBudgets(const Values&)
{
  return Violations("P1");
}

std::string
ScenarioRunner::CheckPools(const Values&)
{
  return Violations("P2");
}

std::string
ScenarioRunner::CheckLeaving(const Values&)
{
  return Violations("P6");
}

std::string
ScenarioRunner::CheckStops(const Values&)
{
  return Violations("P7");
}

std::string
ScenarioRunner::CheckRevisions(const Values&)
{
  return Violations("P8");
}

std::string
ScenarioRunner::CheckChanges(const Values& aValues)
{
  const milliseconds slowest = world_->Results().slowestChange_;
  return slowest <= aValues[0].time_ ? "" : "one was still missing after " + Text(slowest);
}

std::string
ScenarioRunner::CheckStored(const Values&)
{
  const uint64_t lost = world_->Results().lostRevisions_;
  return lost == 0 ? "" : "it lacks " + std::to_string(lost) + " revisions";
}

std::string
ScenarioRunner::CheckDecided(const Values&)
{
  const uint64_t open = world_->Results().undecided_;
  return open == 0 ? Violations("P4") : std::to_string(open) + " requests were never decided";
}

std::string
ScenarioRunner::CheckRollout(const Values& aValues)
{
  const ScenarioResults& results = world_->Results();
  if (!results.rolloutStart_ || !results.rolloutEnd_) {
    return "it did not end";
  }
  const milliseconds took = *results.rolloutEnd_ - *results.rolloutStart_;
  return took <= aValues[0].time_ ? "" : "it took " + Text(took);
}

std::string
ScenarioRunner::CheckMoves(const Values& aValues)
{
  const uint64_t moves = world_->Results().moves_;
  return static_cast<double>(moves) >= aValues[0].number_ ? "" : std::to_string(moves) + " moved";
}

std::string
ScenarioRunner::CheckEdits(const Values&)
{
  const ScenarioResults& results = world_->Results();
  return results.editsAccepted_ * 2 == results.editsRaced_
           ? ""
           : std::to_string(results.editsAccepted_) + " of " + std::to_string(results.editsRaced_) +
               " racing edits were accepted";
}

std::string
ScenarioRunner::CheckSilent(const Values& aValues)
{
  const auto found = world_->Results().grants_.find(aValues[0].text_);
  if (found == world_->Results().grants_.end()) {
    return "it never sent work";
  }
  for (const milliseconds at : found->second) {
    if (at >= aValues[1].time_ && at < aValues[2].time_) {
      return "it sent work at " + Text(at);
    }
  }
  return "";
}

std::string
ScenarioRunner::CheckFailing(const Values& aValues)
{
  const auto& lastUse = world_->Results().lastUse_;
  if (lastUse.empty()) {
    return "no failing worker got work";
  }
  for (const auto& [host, after] : lastUse) {
    if (after > aValues[0].time_) {
      return host + " got work " + Text(after) + " after it began to fail";
    }
  }
  return "";
}

std::string
ScenarioRunner::CheckMostRemoved(const Values& aValues)
{
  for (const auto& [pool, most] : world_->Results().mostRemoved_) {
    if (static_cast<double>(most) > aValues[0].number_) {
      return std::to_string(most) + " workers of " + pool;
    }
  }
  return "";
}

std::string
ScenarioRunner::CheckNoneRemoved(const Values&)
{
  const auto& removed = world_->Results().removed_;
  return removed.empty() ? "" : *removed.begin() + " was removed";
}

std::string
ScenarioRunner::CheckCancelled(const Values&)
{
  const ScenarioResults& results = world_->Results();
  if (results.cancelledStarted_ > 0) {
    return std::to_string(results.cancelledStarted_) + " cancelled requests were started";
  }
  return results.cancelled_ > 0 ? "" : "no request was cancelled";
}

const std::vector<ScenarioRunner::Form>&
ScenarioRunner::Table()
{
  constexpr FormType kShape = FormType::Shape;
  constexpr FormType kEvent = FormType::Event;
  constexpr FormType kHolds = FormType::Expectation;
  static const std::vector<Form> kTable{
    { "deployment NAME with NUMBER entry hosts", kShape, &Runner::SetDeployment },
    { "seed NUMBER", kShape, &Runner::SetSeed },
    { "hosts reboot in TIME", kShape, &Runner::SetRebootTime },
    { "every planner believes it holds the duty", kShape, &Runner::SetAllHoldDuty },
    { "run for TIME", kShape, &Runner::SetDuration },
    { "with mutant NAME this fails: REST", kShape, &Runner::AddMutant },
    { "requests of NAME run TIME", kEvent, &Runner::SetRunTime },
    { "load every queue at NUMBER times its mean", kEvent, &Runner::LoadAll },
    { "load NAME at NUMBER times its mean", kEvent, &Runner::LoadUsual },
    { "load NAME at NUMBER times its mean from TIME to TIME", kEvent, &Runner::LoadBetween },
    { "at TIME rack NAME fails", kEvent, &Runner::FailRack },
    { "at TIME rack NAME fails for TIME", kEvent, &Runner::FailRackFor },
    { "at TIME the store goes down for TIME", kEvent, &Runner::StoreDown },
    { "at TIME the store is backed up", kEvent, &Runner::BackUp },
    { "at TIME the store is restored from the backup", kEvent, &Runner::Restore },
    { "at TIME entry host NAME pauses for TIME", kEvent, &Runner::PauseEntry },
    { "at TIME the planner pauses for TIME", kEvent, &Runner::PausePlanner },
    { "at TIME entry host NAME is cut off for TIME", kEvent, &Runner::CutOff },
    { "at TIME zone NAME is cut off for TIME", kEvent, &Runner::SplitZone },
    { "at TIME entry host NAME is replaced", kEvent, &Runner::ReplaceEntry },
    { "at TIME every entry host is replaced", kEvent, &Runner::ReplaceAll },
    { "at TIME host NAME leaves", kEvent, &Runner::Leave },
    { "at TIME host NAME fails everything", kEvent, &Runner::FailWork },
    { "at TIME work of NAME fails everywhere", kEvent, &Runner::Poison },
    { "at TIME the queued requests of NAME are cancelled", kEvent, &Runner::Cancel },
    { "at TIME roll-out starts", kEvent, &Runner::StartRollout },
    { "at TIME two operators edit profile NAME", kEvent, &Runner::RaceEdits },
    { "at TIME an operator edits profile NAME", kEvent, &Runner::EditProfile },
    { "every team keeps at least PERCENT of its entitlement",
      kHolds,
      nullptr,
      &Runner::CheckEntitlements },
    { "other work waits at most NUMBER times as long as without the flood",
      kHolds,
      nullptr,
      &Runner::CheckWaits },
    { "urgent work starts within TIME", kHolds, nullptr, &Runner::CheckUrgent },
    { "at least PERCENT of the slots are busy while the flooding queue has work",
      kHolds,
      nullptr,
      &Runner::CheckBusy },
    { "no availability budget is exceeded", kHolds, nullptr, &Runner::CheckBudgets },
    { "no host is in two pools", kHolds, nullptr, &Runner::CheckPools },
    { "no leaving host gets work after 3 s", kHolds, nullptr, &Runner::CheckLeaving },
    { "no host is stopped while it runs work", kHolds, nullptr, &Runner::CheckStops },
    { "no revision goes back", kHolds, nullptr, &Runner::CheckRevisions },
    { "every change is in force within TIME", kHolds, nullptr, &Runner::CheckChanges },
    { "the store has the newest documents at the end", kHolds, nullptr, &Runner::CheckStored },
    { "every request is decided once", kHolds, nullptr, &Runner::CheckDecided },
    { "the roll-out ends within TIME", kHolds, nullptr, &Runner::CheckRollout },
    { "at least NUMBER hosts move between pools", kHolds, nullptr, &Runner::CheckMoves },
    { "one of two racing edits is accepted", kHolds, nullptr, &Runner::CheckEdits },
    { "entry host NAME sends no work from TIME to TIME", kHolds, nullptr, &Runner::CheckSilent },
    { "the failing workers get no work after TIME", kHolds, nullptr, &Runner::CheckFailing },
    { "at most NUMBER workers of a pool are removed at once",
      kHolds,
      nullptr,
      &Runner::CheckMostRemoved },
    { "no worker is removed", kHolds, nullptr, &Runner::CheckNoneRemoved },
    { "no cancelled request is started", kHolds, nullptr, &Runner::CheckCancelled },
  };
  return kTable;
}

}
