#include "job_world.h"

namespace sardinespoke {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kStep{ 5 };
constexpr milliseconds kCallLimit{ 3000 };

}

JobWorld::JobWorld(size_t aHosts)
  : store_(std::make_unique<MemoryRecordStore>(clock_, events_))
  , fleet_(
      std::make_unique<SimulatedFleet>(clock_,
                                       events_,
                                       *store_,
                                       format_,
                                       [this](const std::string& aTask) { return ShapeOf(aTask); }))
  , nodes_(aHosts)
{
  for (size_t index = 0; index < aHosts; ++index) {
    nodes_[index].store_ = std::make_unique<MemoryRecordStore::Client>(*store_);
    nodes_[index].orders_ = std::make_unique<SimulatedFleet::Client>(*fleet_);
    Boot(index);
  }
}

void
JobWorld::Boot(size_t aHost)
{
  Node& node = nodes_[aHost];
  node.control_.reset();
  LeadershipSettings settings;
  settings.name_ = "entry-" + std::to_string(aHost);
  settings.incarnation_ = settings.name_ + "-" + std::to_string(++node.life_);
  settings.address_ = "10.0.1." + std::to_string(aHost + 1) + ":1";
  settings.key_ = std::string(JobJournal::kPrefix) + "leader";
  settings.campaignDelay_ = milliseconds(static_cast<int64_t>(aHost) * 20);
  node.leadership_ = std::make_unique<Leadership>(*node.store_, clock_, settings);
}

void
JobWorld::Restart(size_t aHost)
{
  Boot(aHost);
}

void
JobWorld::Thaw(size_t aHost)
{
  nodes_[aHost].frozen_ = false;
  nodes_[aHost].leadership_->OnPause();
}

void
JobWorld::AddPool(const std::string& aName,
                  size_t aHosts,
                  Resources aCapacity,
                  uint32_t aMaxAttempts,
                  bool aSpare)
{
  QueuePolicy queue;
  queue.name_ = aName;
  queue.host_ = "callers";
  queue.prefix_ = "/" + aName + "/";
  queue.service_ = aName;
  queue.maxAttempts_ = aMaxAttempts;
  queue.stretch_ = 1.6;
  queue.latencyTarget_ = milliseconds(600);
  config_.queues_.push_back(queue);
  config_.services_.push_back(ServicePolicy{ aName, aSpare });
  fleet_->AddHosts(aName, aHosts, aCapacity);
}

void
JobWorld::Configure()
{
  ++config_.version_;
  store_->Put(format_.OperatorPrefix() + "config", PlainFleetFormat::EncodeConfig(config_));
}

void
JobWorld::RequestRollout(const RolloutRequest& aRequest)
{
  fleet_->maxDown_ = aRequest.maxDown_;
  store_->Put(format_.OperatorPrefix() + "rollout/" + std::to_string(aRequest.number_),
              PlainFleetFormat::EncodeRollout(aRequest));
}

SimulatedFleet::TaskShape
JobWorld::ShapeOf(const std::string& aTask) const
{
  SimulatedFleet::TaskShape shape;
  TaskId id;
  const auto spec = TaskId::Parse(aTask, id) ? specs_.find(id.job_) : specs_.end();
  if (spec == specs_.end()) {
    return shape;
  }
  const StepSpec& step = spec->second.at(id.step_);
  shape.use_ = step.Need();
  const auto duration = durations_.find(id.job_);
  shape.duration_ = duration == durations_.end() ? step.estimate_ : duration->second;
  shape.lasting_ = step.lasting_;
  shape.isBestEffort_ = step.fillsIdle_;
  shape.tailLatencyMs_ = step.latencyTarget_.count() / 2;
  shape.disturbedTailLatencyMs_ = step.latencyTarget_.count() * 2;
  shape.fails_ = poison_.count(id.job_) > 0;
  return shape;
}

void
JobWorld::SetDuration(const std::string& aJob, milliseconds aDuration)
{
  durations_[aJob] = aDuration;
}

void
JobWorld::Tick(Node& aNode)
{
  aNode.leadership_->Tick();
  const bool owner = aNode.leadership_->IsOwner();
  if (!owner) {
    aNode.control_.reset();
    return;
  }
  if (!aNode.control_) {
    aNode.control_ = std::make_unique<JobControl>(
      *aNode.store_, *aNode.orders_, format_, clock_, *aNode.leadership_, metrics_, settings_);
  }
  aNode.control_->Tick(wall_);
}

void
JobWorld::Run(milliseconds aTime)
{
  RunUntil([] { return false; }, aTime);
}

bool
JobWorld::RunUntil(const std::function<bool()>& aCondition, milliseconds aLimit)
{
  const TimePoint end = clock_.Now() + aLimit;
  while (!aCondition()) {
    if (clock_.Now() >= end) {
      return false;
    }
    clock_.Advance(kStep);
    wall_ += kStep;
    store_->Step();
    fleet_->Step();
    events_.Run();
    for (Node& node : nodes_) {
      if (!node.frozen_) {
        Tick(node);
      }
    }
  }
  return true;
}

std::optional<size_t>
JobWorld::Owner() const
{
  for (size_t index = 0; index < nodes_.size(); ++index) {
    const Node& node = nodes_[index];
    if (!node.frozen_ && node.control_ && node.control_->IsReady()) {
      return index;
    }
  }
  return std::nullopt;
}

JobAnswer
JobWorld::Call(const JobCall& aCall)
{
  RunUntil([this] { return Owner().has_value(); }, kCallLimit);
  const auto owner = Owner();
  const auto answer = std::make_shared<std::optional<JobAnswer>>();
  if (!owner) {
    return JobAnswer();
  }
  nodes_[*owner].control_->Handle(aCall, [answer](const JobAnswer& aAnswer) { *answer = aAnswer; });
  RunUntil([answer] { return answer->has_value(); }, kCallLimit);
  return answer->value_or(JobAnswer());
}

void
JobWorld::Send(const JobCall& aCall, const AnswerCall& aAnswer)
{
  if (const auto owner = Owner()) {
    nodes_[*owner].control_->Handle(aCall, aAnswer);
  }
}

JobCall
JobWorld::SubmitCall(const std::string& aPool, const std::string& aId, std::vector<StepSpec> aSteps)
{
  specs_[aId] = aSteps;
  JobCall call;
  call.kind_ = JobCallKind::Submit;
  call.host_ = "callers";
  call.path_ = "/" + aPool + "/" + aId;
  call.spec_.payload_ = "payload of " + aId;
  call.spec_.steps_ = std::move(aSteps);
  return call;
}

void
JobWorld::SendSubmit(const std::string& aPool,
                     const std::string& aId,
                     std::vector<StepSpec> aSteps,
                     const AnswerCall& aAnswer)
{
  Send(SubmitCall(aPool, aId, std::move(aSteps)), aAnswer);
}

size_t
JobWorld::StoreCalls() const
{
  size_t calls = 0;
  for (const Node& node : nodes_) {
    calls += node.store_->calls_;
  }
  return calls;
}

JobAnswer
JobWorld::Submit(const std::string& aPool, const std::string& aId, std::vector<StepSpec> aSteps)
{
  return Call(SubmitCall(aPool, aId, std::move(aSteps)));
}

JobAnswer
JobWorld::Submit(const std::string& aPool, const std::string& aId, const StepSpec& aStep)
{
  return Submit(aPool, aId, std::vector<StepSpec>{ aStep });
}

JobState
JobWorld::StateOf(const std::string& aPool, const std::string& aId)
{
  JobCall call;
  call.host_ = "callers";
  call.path_ = "/" + aPool + "/" + aId;
  return Call(call).state_;
}

JobAnswer
JobWorld::Cancel(const std::string& aPool, const std::string& aId)
{
  JobCall call;
  call.kind_ = JobCallKind::Cancel;
  call.host_ = "callers";
  call.path_ = "/" + aPool + "/" + aId;
  return Call(call);
}

}
