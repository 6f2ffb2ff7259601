#include "flood_simulation.h"

#include <algorithm>

namespace sardinespoke {

namespace {

constexpr std::chrono::milliseconds kTick{ 5 };
constexpr std::chrono::milliseconds kDeadline{ 2600 };
constexpr std::chrono::milliseconds kFailureRun{ 2 }; // A failing worker answers quickly.

double
Seconds(std::chrono::nanoseconds aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

double
Quantile(const std::vector<double>& aSorted, double aQuantile)
{
  if (aSorted.empty()) {
    return 0;
  }
  const auto index = static_cast<size_t>(aQuantile * static_cast<double>(aSorted.size()));
  return aSorted[std::min(index, aSorted.size() - 1)];
}

}

double
QueueResult::Wait(double aQuantile) const
{
  return Quantile(waits_, aQuantile);
}

double
QueueResult::Response(double aQuantile) const
{
  return Quantile(responses_, aQuantile);
}

double
QueueResult::Served() const
{
  return offered_ == 0 ? 1 : static_cast<double>(started_) / static_cast<double>(offered_);
}

FloodSimulation::FloodSimulation(const FloodScenario& aScenario, FloodPolicyI& aPolicy)
  : scenario_(aScenario)
  , policy_(aPolicy)
  , start_(clock_.Now())
  , random_(aScenario.seed_)
  , busy_(aScenario.workers_, 0)
  , busySince_(start_)
{
  result_.queues_.resize(aScenario.queues_.size());
}

FloodResult
FloodSimulation::Run()
{
  for (size_t queue = 0; queue < scenario_.queues_.size(); ++queue) {
    ScheduleArrival(queue);
  }
  Schedule(std::chrono::nanoseconds(0), EventType::Tick, 0);
  while (!events_.empty() && events_.top().at_ < start_ + scenario_.duration_) {
    const Event event = events_.top();
    events_.pop();
    clock_.Advance(event.at_ - clock_.Now());
    Handle(event);
    Decide();
  }
  clock_.Advance(start_ + scenario_.duration_ - clock_.Now());
  CountBusy();
  const double measured = Seconds(scenario_.duration_ - scenario_.measureFrom_);
  const double slots = static_cast<double>(scenario_.workers_) * scenario_.slotsPerWorker_;
  for (const auto& [id, request] : requests_) {
    const bool runs = request.granted_ != TimePoint() && request.result_ == AttemptResult::Ok;
    heldSeconds_ += runs ? MeasuredSince(request.granted_) : 0;
  }
  result_.utilisation_ = heldSeconds_ / measured / slots;
  result_.workerBusy_ = busySeconds_ / measured / slots;
  result_.workersRemoved_ = policy_.WorkersRemoved();
  for (QueueResult& queue : result_.queues_) {
    std::sort(queue.waits_.begin(), queue.waits_.end());
    std::sort(queue.responses_.begin(), queue.responses_.end());
  }
  return std::move(result_);
}

void
FloodSimulation::Schedule(std::chrono::nanoseconds aDelay, EventType aType, uint64_t aId)
{
  events_.push({ clock_.Now() + aDelay, ++sequence_, aType, aId });
}

void
FloodSimulation::ScheduleArrival(size_t aQueue)
{
  const FloodQueue& queue = scenario_.queues_[aQueue];
  const double rate = Load(aQueue) * queue.entitledSlots_ / Seconds(queue.meanRun_);
  const std::chrono::duration<double> gap(std::exponential_distribution<>(rate)(random_));
  Schedule(std::chrono::duration_cast<std::chrono::nanoseconds>(gap), EventType::Arrive, aQueue);
}

void
FloodSimulation::Handle(const Event& aEvent)
{
  switch (aEvent.type_) {
    case EventType::Arrive:
      OnArrive(aEvent.id_);
      break;
    case EventType::Reach:
      OnReach(aEvent.id_);
      break;
    case EventType::Finish:
      OnFinish(aEvent.id_);
      break;
    case EventType::Answer:
      OnAnswer(aEvent.id_);
      break;
    case EventType::Tick:
      policy_.Tick(clock_.Now());
      Schedule(kTick, EventType::Tick, 0);
      break;
    case EventType::Count:
      break;
  }
}

void
FloodSimulation::OnArrive(size_t aQueue)
{
  ScheduleArrival(aQueue);
  std::uniform_real_distribution<> unit(0, 1);
  const FloodQueue& queue = scenario_.queues_[aQueue];
  Request request;
  request.policy_.id_ = ++lastId_;
  request.policy_.queue_ = aQueue;
  request.policy_.kind_ = queue.name_;
  request.policy_.deadline_ = kDeadline;
  std::uniform_int_distribution<size_t> any(0, scenario_.entryHosts_ - 1);
  const bool uneven = Elapsed() >= scenario_.firstHostFrom_;
  const bool toFirst = unit(random_) < scenario_.firstHostPart_ && uneven;
  const size_t host = any(random_);
  request.policy_.entryHost_ = toFirst ? 0 : host;
  const std::exponential_distribution<>::param_type rate(1 / Seconds(queue.meanRun_));
  const std::chrono::duration<double> run(std::exponential_distribution<>()(random_, rate));
  request.run_ = std::chrono::duration_cast<std::chrono::nanoseconds>(run);
  const bool poisoned = unit(random_) < scenario_.poison_.part_;
  request.poisoned_ =
    poisoned && aQueue == scenario_.poison_.queue_ && Elapsed() >= scenario_.poison_.begin_;
  if (request.poisoned_ && scenario_.poison_.ownKind_) {
    request.policy_.kind_ += "/poison";
  }
  request.arrival_ = clock_.Now();
  request.measured_ =
    Elapsed() >= scenario_.measureFrom_ && Elapsed() < scenario_.duration_ - kDeadline;
  result_.queues_[aQueue].offered_ += request.measured_ ? 1 : 0;
  const PolicyRequest submitted = request.policy_;
  requests_[submitted.id_] = std::move(request);
  policy_.Submit(submitted, clock_.Now());
}

void
FloodSimulation::OnReach(uint64_t aId)
{
  Request& request = requests_.at(aId);
  if (busy_[request.worker_] >= scenario_.slotsPerWorker_) {
    request.result_ = AttemptResult::SlotsRefused;
    ++result_.slotsRefused_;
    Schedule(scenario_.networkDelay_, EventType::Answer, aId);
    return;
  }
  if (request.measured_) {
    QueueResult& queue = result_.queues_[request.policy_.queue_];
    ++queue.started_;
    queue.waits_.push_back(Seconds(clock_.Now() - request.arrival_));
  }
  CountBusy();
  ++busySlots_;
  ++busy_[request.worker_];
  const bool faulty = Faulty(request.worker_);
  const bool fails = faulty || request.poisoned_;
  if (faulty && !request.probe_) {
    for (const WorkerFault& fault : scenario_.faults_) {
      result_.lastUseOfFaulty_ = Seconds(Elapsed() - fault.begin_);
    }
  }
  request.result_ = fails ? AttemptResult::ServerError : AttemptResult::Ok;
  Schedule(fails ? kFailureRun : request.run_, EventType::Finish, aId);
}

void
FloodSimulation::OnFinish(uint64_t aId)
{
  CountBusy();
  --busySlots_;
  --busy_[requests_.at(aId).worker_];
  Schedule(scenario_.networkDelay_, EventType::Answer, aId);
}

void
FloodSimulation::OnAnswer(uint64_t aId)
{
  Request& request = requests_.at(aId);
  const bool failed = request.result_ == AttemptResult::ServerError;
  policy_.Release(aId, request.result_, failed ? kFailureRun : request.run_, clock_.Now());
  if (request.result_ != AttemptResult::SlotsRefused) {
    heldSeconds_ += MeasuredSince(request.granted_);
    if (request.measured_) {
      QueueResult& queue = result_.queues_[request.policy_.queue_];
      queue.responses_.push_back(Seconds(clock_.Now() - request.arrival_));
    }
    requests_.erase(aId);
    return;
  }
  request.granted_ = TimePoint();
  const auto left = request.arrival_ + kDeadline - clock_.Now();
  request.policy_.retry_ = true;
  request.policy_.avoidWorker_ = request.worker_;
  request.policy_.deadline_ = std::max(std::chrono::duration_cast<std::chrono::milliseconds>(left),
                                       std::chrono::milliseconds(1));
  policy_.Submit(request.policy_, clock_.Now());
}

void
FloodSimulation::Decide()
{
  for (const PolicyDecision& decision : policy_.TakeDecisions()) {
    Request& request = requests_.at(decision.id_);
    if (!decision.worker_.has_value()) {
      result_.queues_[request.policy_.queue_].refused_ += request.measured_ ? 1 : 0;
      requests_.erase(decision.id_);
      continue;
    }
    request.worker_ = *decision.worker_;
    request.granted_ = clock_.Now();
    request.result_ = AttemptResult::Ok;
    request.probe_ = decision.probe_;
    Schedule(scenario_.networkDelay_, EventType::Reach, decision.id_);
  }
}

double
FloodSimulation::Load(size_t aQueue) const
{
  for (const FloodWindow& flood : scenario_.floods_) {
    if (flood.queue_ == aQueue && Elapsed() >= flood.begin_ && Elapsed() < flood.end_) {
      return flood.load_;
    }
  }
  return scenario_.usualLoad_;
}

bool
FloodSimulation::Faulty(size_t aWorker) const
{
  return std::any_of(
    scenario_.faults_.begin(), scenario_.faults_.end(), [&](const WorkerFault& aFault) {
      return aFault.worker_ == aWorker && Elapsed() >= aFault.begin_;
    });
}

void
FloodSimulation::CountBusy()
{
  busySeconds_ += busySlots_ * MeasuredSince(busySince_);
  busySince_ = clock_.Now();
}

double
FloodSimulation::MeasuredSince(TimePoint aFrom) const
{
  const TimePoint from = std::max(aFrom, start_ + scenario_.measureFrom_);
  return clock_.Now() > from ? Seconds(clock_.Now() - from) : 0;
}

}
