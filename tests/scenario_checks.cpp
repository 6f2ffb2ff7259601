#include "scenario_patterns.h"

#include <algorithm>
#include <cmath>
#include <sstream>

namespace sardinespoke {

namespace {

/// Lower bound of the p99 wait in ratios, as in sardinespoke-measure: below it, the ratio reflects
/// the network delay and single slots.
constexpr double kMinComparedWaitSeconds = 0.010;

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
EntitledWorkSeconds(const ScenarioQueue& aQueue)
{
  double entitled = 0;
  for (const auto& [second, work] : aQueue.offeredWorkSeconds_) {
    entitled += std::min(work, static_cast<double>(aQueue.entitledSlots_));
  }
  return entitled;
}

/// @returns Slot seconds within its entitlement that the queue had demand for but did not hold.
/// Counts only seconds with requests queued throughout: a shorter shortage is a wait, which
/// CheckWaits covers.
double
MissedSlotSeconds(const ScenarioQueue& aQueue)
{
  constexpr double kWholeSecond = 0.999;
  double lost = 0;
  for (const auto& [second, backlog] : aQueue.backlogSeconds_) {
    if (backlog >= kWholeSecond) {
      lost += aQueue.entitledDemand_.at(second) - aQueue.entitledHeld_.at(second);
    }
  }
  return lost;
}

/// @returns Slots held and demanded in each second in which the queue held less than 99 % of its
/// demand within the entitlement.
std::string
DescribeShortage(const ScenarioQueue& aQueue)
{
  std::string text;
  for (const auto& [second, wanted] : aQueue.entitledDemand_) {
    const double held = aQueue.entitledHeld_.at(second);
    if (held < wanted * 0.99) {
      text +=
        ", " + Text(held) + " of " + Text(wanted) + " slots in second " + std::to_string(second);
    }
  }
  return text;
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
    const double entitled = EntitledWorkSeconds(queue);
    const double received =
      std::min(queue.startedWorkSeconds_, entitled - MissedSlotSeconds(queue));
    const double kept = entitled > 0 ? received / entitled * 100 : 100;
    if (kept < aValues[0].number_) {
      failure += name + " kept " + Text(kept) + " %" + DescribeShortage(queue) + "; ";
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
    const double wait = Quantile(queue.waitSeconds_, 0.99);
    const double usual = std::max(Quantile(without->Results().queues_.at(name).waitSeconds_, 0.99),
                                  kMinComparedWaitSeconds);
    if (wait > usual * aValues[0].number_) {
      failure += name + " waits " + Text(wait) + " s instead of " + Text(usual) + " s; ";
    }
  }
  return failure;
}

std::string
ScenarioRunner::CheckUrgentWaits(const Values& aValues)
{
  const double limit = std::chrono::duration<double>(aValues[0].time_).count();
  std::string failure;
  for (const auto& [name, queue] : world_->Results().queues_) {
    const double wait = Quantile(queue.waitSeconds_, 0.999);
    if (queue.urgent_ && wait > limit) {
      failure += name + " waits " + Text(wait) + " s; ";
    }
  }
  return failure;
}

std::string
ScenarioRunner::CheckUtilization(const Values& aValues)
{
  std::string failure;
  for (const std::string& name : flooding_) {
    const ScenarioQueue& queue = world_->Results().queues_.at(name);
    const double utilization =
      queue.availableSlotSeconds_ > 0 ? queue.usedSlotSeconds_ / queue.availableSlotSeconds_ : 1;
    if (utilization * 100 < aValues[0].number_) {
      failure += "during the flood of " + name + " it was " + Text(utilization * 100) + " %; ";
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
ScenarioRunner::CheckChangeDelay(const Values& aValues)
{
  const milliseconds slowest = world_->Results().longestChangeDelay_;
  return slowest <= aValues[0].time_ ? "" : "one was still missing after " + Text(slowest);
}

std::string
ScenarioRunner::CheckStoredRevision(const Values&)
{
  const uint64_t lost = world_->Results().lostRevisions_;
  return lost == 0 ? "" : "it lacks " + std::to_string(lost) + " revisions";
}

std::string
ScenarioRunner::CheckDecidedOnce(const Values&)
{
  const uint64_t open = world_->Results().undecidedRequests_;
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
  return results.acceptedRacingEdits_ * 2 == results.racingEdits_
           ? ""
           : std::to_string(results.acceptedRacingEdits_) + " of " +
               std::to_string(results.racingEdits_) + " racing edits were accepted";
}

std::string
ScenarioRunner::CheckSendsNoWork(const Values& aValues)
{
  const auto found = world_->Results().grantTimes_.find(aValues[0].text_);
  if (found == world_->Results().grantTimes_.end()) {
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
  const auto& lastUse = world_->Results().lastUseOfFailing_;
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
ScenarioRunner::CheckMostEjected(const Values& aValues)
{
  for (const auto& [pool, most] : world_->Results().mostEjected_) {
    if (static_cast<double>(most) > aValues[0].number_) {
      return std::to_string(most) + " workers of " + pool;
    }
  }
  return "";
}

std::string
ScenarioRunner::CheckNoneEjected(const Values&)
{
  const auto& removed = world_->Results().ejectedWorkers_;
  return removed.empty() ? "" : *removed.begin() + " was ejected";
}

std::string
ScenarioRunner::CheckCancelled(const Values&)
{
  const ScenarioResults& results = world_->Results();
  if (results.startedAfterCancel_ > 0) {
    return std::to_string(results.startedAfterCancel_) + " cancelled requests were started";
  }
  return results.cancelledRequests_ > 0 ? "" : "no request was cancelled";
}

const std::vector<ScenarioRunner::Pattern>&
ScenarioRunner::PatternTable()
{
  constexpr StatementType kSetup = StatementType::Setup;
  constexpr StatementType kEvent = StatementType::Event;
  constexpr StatementType kExpectation = StatementType::Expectation;
  static const std::vector<Pattern> kTable{
    { "deployment NAME with NUMBER entry hosts", kSetup, &Runner::SetDeployment },
    { "seed NUMBER", kSetup, &Runner::SetSeed },
    { "hosts reboot in TIME", kSetup, &Runner::SetRebootTime },
    { "every planner believes it holds the duty", kSetup, &Runner::SetAllPlannersLead },
    { "run for TIME", kSetup, &Runner::SetDuration },
    { "with mutant NAME this fails: REST", kSetup, &Runner::AddMutant },
    { "requests of NAME run TIME", kEvent, &Runner::SetRunTime },
    { "load every queue at NUMBER times its mean", kEvent, &Runner::LoadAll },
    { "load NAME at NUMBER times its mean", kEvent, &Runner::LoadOne },
    { "load NAME at NUMBER times its mean from TIME to TIME", kEvent, &Runner::LoadBetween },
    { "at TIME rack NAME fails", kEvent, &Runner::FailRack },
    { "at TIME rack NAME fails for TIME", kEvent, &Runner::FailRackFor },
    { "at TIME the store goes down for TIME", kEvent, &Runner::StoreDown },
    { "at TIME the store is backed up", kEvent, &Runner::BackUp },
    { "at TIME the store is restored from the backup", kEvent, &Runner::Restore },
    { "at TIME entry host NAME pauses for TIME", kEvent, &Runner::PauseEntry },
    { "at TIME the planner pauses for TIME", kEvent, &Runner::PausePlanner },
    { "at TIME entry host NAME is cut off for TIME", kEvent, &Runner::IsolateEntry },
    { "at TIME zone NAME is cut off for TIME", kEvent, &Runner::IsolateZone },
    { "at TIME entry host NAME is replaced", kEvent, &Runner::ReplaceEntry },
    { "at TIME every entry host is replaced", kEvent, &Runner::ReplaceAll },
    { "at TIME host NAME leaves", kEvent, &Runner::MarkHostLeaving },
    { "at TIME host NAME fails everything", kEvent, &Runner::FailAllWork },
    { "at TIME work of NAME fails everywhere", kEvent, &Runner::FailService },
    { "at TIME the queued requests of NAME are cancelled", kEvent, &Runner::Cancel },
    { "at TIME roll-out starts", kEvent, &Runner::StartRollout },
    { "at TIME two operators edit profile NAME", kEvent, &Runner::RaceEdits },
    { "at TIME an operator edits profile NAME", kEvent, &Runner::EditProfile },
    { "every team keeps at least PERCENT of its entitlement",
      kExpectation,
      nullptr,
      &Runner::CheckEntitlements },
    { "other work waits at most NUMBER times as long as without the flood",
      kExpectation,
      nullptr,
      &Runner::CheckWaits },
    { "urgent work starts within TIME", kExpectation, nullptr, &Runner::CheckUrgentWaits },
    { "at least PERCENT of the slots are busy while the flooding queue has work",
      kExpectation,
      nullptr,
      &Runner::CheckUtilization },
    { "no availability budget is exceeded", kExpectation, nullptr, &Runner::CheckBudgets },
    { "no host is in two pools", kExpectation, nullptr, &Runner::CheckPools },
    { "no leaving host gets work after 3 s", kExpectation, nullptr, &Runner::CheckLeaving },
    { "no host is stopped while it runs work", kExpectation, nullptr, &Runner::CheckStops },
    { "no revision goes back", kExpectation, nullptr, &Runner::CheckRevisions },
    { "every change is in force within TIME", kExpectation, nullptr, &Runner::CheckChangeDelay },
    { "the store has the newest documents at the end",
      kExpectation,
      nullptr,
      &Runner::CheckStoredRevision },
    { "every request is decided once", kExpectation, nullptr, &Runner::CheckDecidedOnce },
    { "the roll-out ends within TIME", kExpectation, nullptr, &Runner::CheckRollout },
    { "at least NUMBER hosts move between pools", kExpectation, nullptr, &Runner::CheckMoves },
    { "one of two racing edits is accepted", kExpectation, nullptr, &Runner::CheckEdits },
    { "entry host NAME sends no work from TIME to TIME",
      kExpectation,
      nullptr,
      &Runner::CheckSendsNoWork },
    { "the failing workers get no work after TIME", kExpectation, nullptr, &Runner::CheckFailing },
    { "at most NUMBER workers of a pool are removed at once",
      kExpectation,
      nullptr,
      &Runner::CheckMostEjected },
    { "no worker is removed", kExpectation, nullptr, &Runner::CheckNoneEjected },
    { "no cancelled request is started", kExpectation, nullptr, &Runner::CheckCancelled },
  };
  return kTable;
}

}
