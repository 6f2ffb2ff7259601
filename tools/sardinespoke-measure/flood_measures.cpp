#include "flood_measures.h"

#include "central_policy.h"
#include "flood_simulation.h"
#include "product_policy.h"

#include <algorithm>
#include <functional>
#include <memory>

namespace sardinespoke {

namespace {

using std::chrono::milliseconds;

/// A p99 wait below this counts as this much in ratios: below it, the ratio compares the network
/// delay and single slots, and callers can't tell the difference.
constexpr double kWaitFloor = 0.010;
constexpr double kNeverStarted = 1000; // Seconds; stands for a refused urgent request.

FloodScenario
BaseScenario(const std::string& aDeployment, uint64_t aSeed)
{
  FloodScenario scenario;
  scenario.seed_ = aSeed;
  if (aDeployment == "inyana") {
    scenario.networkDelay_ = std::chrono::microseconds(1000);
    scenario.queues_ = { { "births", Urgency::Standard, 80, milliseconds(120) },
                         { "sales", Urgency::Urgent, 80, milliseconds(150) },
                         { "walks", Urgency::Standard, 80, milliseconds(80) },
                         { "officers", Urgency::Urgent, 80, milliseconds(200) },
                         { "buyers", Urgency::Batch, 80, milliseconds(300) } };
  } else {
    scenario.networkDelay_ = std::chrono::microseconds(500);
    scenario.queues_ = { { "renders", Urgency::Urgent, 80, milliseconds(250) },
                         { "orders", Urgency::Urgent, 80, milliseconds(100) },
                         { "proofs", Urgency::Standard, 80, milliseconds(300) },
                         { "stock", Urgency::Standard, 80, milliseconds(100) },
                         { "catalogue", Urgency::Batch, 80, milliseconds(2000) } };
  }
  return scenario;
}

struct PolicyChoice
{
  const char* name_ = "";
  std::function<std::unique_ptr<FloodPolicyI>(const FloodScenario&)> make_;
};

const std::vector<PolicyChoice>&
Policies()
{
  using Order = CentralPolicy::Order;
  const auto central = [](Order aOrder) {
    return [aOrder](const FloodScenario& aScenario) {
      return std::make_unique<CentralPolicy>(aScenario, aOrder);
    };
  };
  static const std::vector<PolicyChoice> policies = {
    { "product",
      [](const FloodScenario& aScenario) { return std::make_unique<ProductPolicy>(aScenario); } },
    { "static-pools", central(Order::StaticPools) },
    { "strict-priority", central(Order::StrictPriority) },
    { "first-come", central(Order::FirstCome) },
  };
  return policies;
}

FloodResult
RunScenario(const FloodScenario& aScenario, const PolicyChoice& aPolicy)
{
  const std::unique_ptr<FloodPolicyI> policy = aPolicy.make_(aScenario);
  return FloodSimulation(aScenario, *policy).Run();
}

/// Writes the measures of one deployment, policy and seed.
class Reporter
{
public:
  Reporter(MeasureWriter& aWriter, std::string aDeployment, uint64_t aSeed)
    : writer_(aWriter)
  {
    measure_.deployment_ = std::move(aDeployment);
    measure_.seed_ = aSeed;
  }

  void SetPolicy(const char* aPolicy) { measure_.policy_ = aPolicy; }

  void Write(const std::string& aName, double aValue, const char* aUnit, const char* aBound)
  {
    measure_.measure_ = aName;
    measure_.value_ = aValue;
    measure_.unit_ = aUnit;
    measure_.bound_ = measure_.policy_ == "product" ? aBound : "";
    writer_.Write(measure_);
  }

private:
  MeasureWriter& writer_;
  Measure measure_;
};

/// @returns The p99.9 start of a queue in seconds; requests that never started count.
double
UrgentStart(const QueueResult& aQueue)
{
  return aQueue.Served() < 0.999 ? kNeverStarted : aQueue.Wait(0.999);
}

/// Compares a run with a flood to one without, over the queues that do not flood.
void
ReportFlood(Reporter& aReporter,
            const FloodScenario& aScenario,
            const FloodResult& aUsual,
            const FloodResult& aFlooded,
            const std::string& aName)
{
  double kept = 1;
  double ratio = 0;
  double wait = 0;
  double response = 0;
  double urgentStart = 0;
  for (size_t queue = 0; queue < aScenario.queues_.size(); ++queue) {
    const bool floods =
      std::any_of(aScenario.floods_.begin(),
                  aScenario.floods_.end(),
                  [&](const FloodWindow& aFlood) { return aFlood.queue_ == queue; });
    const QueueResult& usual = aUsual.queues_[queue];
    const QueueResult& flooded = aFlooded.queues_[queue];
    if (floods) {
      continue;
    }
    kept = std::min(kept, flooded.Served() / std::max(usual.Served(), 1e-9));
    const double before = std::max(usual.Wait(0.99), kWaitFloor);
    ratio = std::max(ratio, std::max(flooded.Wait(0.99), kWaitFloor) / before);
    wait = std::max(wait, flooded.Wait(0.99));
    response = std::max(response, flooded.Response(0.99) / usual.Response(0.99));
    if (aScenario.queues_[queue].urgency_ == Urgency::Urgent) {
      urgentStart = std::max(urgentStart, UrgentStart(flooded));
    }
  }
  aReporter.Write("flood." + aName + ".others_kept", kept, "ratio", ">= 0.99");
  aReporter.Write("flood." + aName + ".others_p99_wait", ratio, "ratio", "<= 1.25");
  aReporter.Write("flood." + aName + ".others_p99_wait_s", wait, "s", "");
  aReporter.Write("flood." + aName + ".others_p99_response", response, "ratio", "<= 1.25");
  aReporter.Write("flood." + aName + ".urgent_start_p999", urgentStart, "s", "<= 2.6");
  aReporter.Write("flood." + aName + ".utilisation", aFlooded.utilisation_, "ratio", ">= 0.98");
  aReporter.Write("flood." + aName + ".worker_busy", aFlooded.workerBusy_, "ratio", "");
  aReporter.Write("flood." + aName + ".slots_refused",
                  static_cast<double>(aFlooded.slotsRefused_),
                  "attempts",
                  "");
}

}

void
RunFloodMeasures(MeasureWriter& aWriter, const std::string& aDeployment, uint64_t aSeed)
{
  Reporter reporter(aWriter, aDeployment, aSeed);
  const FloodScenario base = BaseScenario(aDeployment, aSeed);
  for (const PolicyChoice& policy : Policies()) {
    reporter.SetPolicy(policy.name_);
    const FloodResult usual = RunScenario(base, policy);
    for (size_t queue = 0; queue < base.queues_.size(); ++queue) {
      FloodScenario scenario = base;
      scenario.floods_ = { { queue, 5, milliseconds(3000), scenario.duration_ } };
      const FloodResult flooded = RunScenario(scenario, policy);
      ReportFlood(reporter, scenario, usual, flooded, base.queues_[queue].name_);
    }
    FloodScenario twice = base;
    const auto byUrgency = [](const FloodQueue& aLeft, const FloodQueue& aRight) {
      return aLeft.urgency_ < aRight.urgency_;
    };
    const auto [most, least] =
      std::minmax_element(base.queues_.begin(), base.queues_.end(), byUrgency);
    const auto index = [&](auto aQueue) {
      return static_cast<size_t>(aQueue - base.queues_.begin());
    };
    twice.floods_ = { { index(least), 5, milliseconds(3000), milliseconds(15000) },
                      { index(most), 5, milliseconds(15000), twice.duration_ } };
    const FloodResult flooded = RunScenario(twice, policy);
    ReportFlood(reporter, twice, usual, flooded, "least_then_most");
  }
}

void
RunLongMeasures(MeasureWriter& aWriter, const std::string& aDeployment, uint64_t aSeed)
{
  Reporter reporter(aWriter, aDeployment, aSeed);
  FloodScenario scenario = BaseScenario(aDeployment, aSeed);
  const size_t longQueue = scenario.queues_.size() - 1;
  scenario.queues_[longQueue].meanRun_ = milliseconds(10000);
  scenario.usualLoad_ = 0.05;
  scenario.duration_ = milliseconds(40000);
  scenario.measureFrom_ = milliseconds(20000);
  scenario.floods_ = { { longQueue, 5, milliseconds(0), scenario.duration_ } };
  for (size_t queue = 0; queue < longQueue; ++queue) {
    scenario.floods_.push_back({ queue, 0.9, scenario.measureFrom_, scenario.duration_ });
  }
  for (const PolicyChoice& policy : Policies()) {
    reporter.SetPolicy(policy.name_);
    const FloodResult result = RunScenario(scenario, policy);
    double kept = 1;
    double urgentStart = 0;
    for (size_t queue = 0; queue < longQueue; ++queue) {
      kept = std::min(kept, result.queues_[queue].Served());
      if (scenario.queues_[queue].urgency_ == Urgency::Urgent) {
        urgentStart = std::max(urgentStart, UrgentStart(result.queues_[queue]));
      }
    }
    reporter.Write("long.burst_kept", kept, "ratio", ">= 0.99");
    reporter.Write("long.burst_urgent_start_p999", urgentStart, "s", "<= 2.6");
    reporter.Write("long.burst_utilisation", result.utilisation_, "ratio", "");
  }
}

void
RunEntryMeasures(MeasureWriter& aWriter, const std::string& aDeployment, uint64_t aSeed)
{
  Reporter reporter(aWriter, aDeployment, aSeed);
  const PolicyChoice& product = Policies().front();
  reporter.SetPolicy(product.name_);
  FloodScenario scenario = BaseScenario(aDeployment, aSeed);
  scenario.usualLoad_ = 1.2;
  const double even = RunScenario(scenario, product).utilisation_;
  scenario.firstHostPart_ = 0.8;
  const double uneven = RunScenario(scenario, product).utilisation_;
  reporter.Write("entry.even_utilisation", even, "ratio", ">= 0.98");
  reporter.Write("entry.capacity_lost_uneven", 1 - uneven / even, "ratio", "<= 0.02");
  scenario.firstHostFrom_ = milliseconds(15000);
  const double shifted = RunScenario(scenario, product).utilisation_;
  reporter.Write("entry.capacity_lost_shift", 1 - shifted / even, "ratio", "<= 0.02");
}

void
RunFaultMeasures(MeasureWriter& aWriter, const std::string& aDeployment, uint64_t aSeed)
{
  Reporter reporter(aWriter, aDeployment, aSeed);
  const PolicyChoice& product = Policies().front();
  reporter.SetPolicy(product.name_);
  FloodScenario failing = BaseScenario(aDeployment, aSeed);
  failing.faults_ = { { 7, milliseconds(8000) } };
  const FloodResult result = RunScenario(failing, product);
  reporter.Write("fault.failing_worker_in_use", result.lastUseOfFaulty_, "s", "<= 10");

  FloodScenario poison = BaseScenario(aDeployment, aSeed);
  poison.poison_ = { 0, 0.3, true, milliseconds(0) };
  const auto removedOwn = static_cast<double>(RunScenario(poison, product).workersRemoved_);
  reporter.Write("fault.removed_by_impossible_job", removedOwn, "workers", "= 0");
  poison.poison_.ownKind_ = false;
  const auto removedMixed = static_cast<double>(RunScenario(poison, product).workersRemoved_);
  reporter.Write("fault.removed_by_mixed_kind", removedMixed, "workers", "= 0");
  poison.poison_ = { 0, 1, false, milliseconds(10000) };
  const auto removedLate = static_cast<double>(RunScenario(poison, product).workersRemoved_);
  reporter.Write("fault.removed_by_kind_turned_bad", removedLate, "workers", "= 0");
}

}
