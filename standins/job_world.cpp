#include "job_world.h"

namespace sardinespoke {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTickPeriod{ 5 };
constexpr milliseconds kCallTimeout{ 3000 };

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
    nodes_[index].commands_ = std::make_unique<SimulatedFleet::Client>(*fleet_);
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
  settings.incarnation_ = settings.name_ + "-" + std::to_string(++node.bootCount_);
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
JobWorld::Stop(size_t aHost)
{
  Node& node = nodes_[aHost];
  node.leadership_->Resign(node.control_ ? node.control_->MakeHandover() : Handover{});
  Run(milliseconds(20)); // Until the store has its transaction.
  Boot(aHost);
}

void
JobWorld::ResumeHost(size_t aHost)
{
  nodes_[aHost].paused_ = false;
  nodes_[aHost].leadership_->OnProcessPause();
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
  shape.resources_ = step.Need();
  const auto duration = durations_.find(id.job_);
  shape.duration_ = duration == durations_.end() ? step.estimate_ : duration->second;
  shape.continuous_ = step.continuous_;
  const auto ownEnd = ownEnds_.find(id.job_);
  if (ownEnd != ownEnds_.end()) {
    shape.ownEnd_ = ownEnd->second;
  }
  shape.isBestEffort_ = step.bestEffort_;
  shape.checkpointing_ = step.checkpointing_;
  shape.gang_ = step.gang_;
  shape.tailLatencyMs_ = step.latencyTarget_.count() / 2;
  shape.disturbedTailLatencyMs_ = step.latencyTarget_.count() * 2;
  shape.fails_ = poison_.count(id.job_) > 0;
  const auto deadly = deadly_.find(aTask);
  shape.crashesAfter_ = deadly == deadly_.end() ? milliseconds(0) : deadly->second;
  return shape;
}

void
JobWorld::SetDuration(const std::string& aJob, milliseconds aDuration)
{
  durations_[aJob] = aDuration;
}

void
JobWorld::SetOwnEnd(const std::string& aJob, RunOutcome aOutcome, milliseconds aAfter)
{
  ownEnds_[aJob] = aOutcome;
  durations_[aJob] = aAfter;
}

void
JobWorld::Tick(Node& aNode)
{
  aNode.leadership_->Tick();
  const bool owner = aNode.leadership_->IsLeader();
  if (!owner) {
    aNode.control_.reset();
    return;
  }
  if (!aNode.control_) {
    aNode.control_ = std::make_unique<JobControl>(
      *aNode.store_, *aNode.commands_, format_, clock_, *aNode.leadership_, metrics_, settings_);
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
    clock_.Advance(kTickPeriod);
    wall_ += kTickPeriod;
    store_->Step();
    fleet_->Step();
    events_.Run();
    for (Node& node : nodes_) {
      if (!node.paused_) {
        Tick(node);
      }
    }
  }
  return true;
}

bool
JobWorld::IsLeader(size_t aHost) const
{
  const Node& node = nodes_[aHost];
  return !node.paused_ && node.control_ && node.control_->IsReady();
}

std::optional<size_t>
JobWorld::Leader() const
{
  for (size_t index = 0; index < nodes_.size(); ++index) {
    if (IsLeader(index)) {
      return index;
    }
  }
  return std::nullopt;
}

JobResponse
JobWorld::Call(const JobRequest& aCall)
{
  RunUntil([this] { return Leader().has_value(); }, kCallTimeout);
  const auto owner = Leader();
  return owner ? CallAt(*owner, aCall) : JobResponse();
}

JobResponse
JobWorld::CallAt(size_t aHost, const JobRequest& aCall)
{
  const auto answer = std::make_shared<std::optional<JobResponse>>();
  nodes_[aHost].control_->Handle(aCall,
                                 [answer](const JobResponse& aAnswer) { *answer = aAnswer; });
  RunUntil([answer] { return answer->has_value(); }, kCallTimeout);
  return answer->value_or(JobResponse());
}

void
JobWorld::Send(const JobRequest& aCall, const JobResponseCallback& aAnswer)
{
  if (const auto owner = Leader()) {
    nodes_[*owner].control_->Handle(aCall, aAnswer);
  }
}

JobRequest
JobWorld::CallTo(JobRequestKind aKind, const std::string& aPool, const std::string& aId) const
{
  JobRequest call;
  call.kind_ = aKind;
  call.host_ = "callers";
  call.path_ = "/" + aPool + "/" + aId;
  call.apiKey_ = apiKey_;
  return call;
}

JobRequest
JobWorld::SubmitCall(const std::string& aPool, const std::string& aId, std::vector<StepSpec> aSteps)
{
  specs_[aId] = aSteps;
  JobRequest call = CallTo(JobRequestKind::Submit, aPool, aId);
  call.spec_.payload_ = "payload of " + aId;
  call.spec_.steps_ = std::move(aSteps);
  return call;
}

void
JobWorld::SendSubmit(const std::string& aPool,
                     const std::string& aId,
                     std::vector<StepSpec> aSteps,
                     const JobResponseCallback& aAnswer)
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

JobResponse
JobWorld::Submit(const std::string& aPool, const std::string& aId, std::vector<StepSpec> aSteps)
{
  return Call(SubmitCall(aPool, aId, std::move(aSteps)));
}

JobResponse
JobWorld::Submit(const std::string& aPool, const std::string& aId, const StepSpec& aStep)
{
  return Submit(aPool, aId, std::vector<StepSpec>{ aStep });
}

JobState
JobWorld::StateOf(const std::string& aPool, const std::string& aId)
{
  return Call(CallTo(JobRequestKind::State, aPool, aId)).state_;
}

JobResponse
JobWorld::Cancel(const std::string& aPool, const std::string& aId)
{
  return Call(CallTo(JobRequestKind::Cancel, aPool, aId));
}

JobResponse
JobWorld::SubmitAt(size_t aHost,
                   const std::string& aPool,
                   const std::string& aId,
                   std::vector<StepSpec> aSteps)
{
  return CallAt(aHost, SubmitCall(aPool, aId, std::move(aSteps)));
}

JobResponse
JobWorld::CancelAt(size_t aHost, const std::string& aPool, const std::string& aId)
{
  return CallAt(aHost, CallTo(JobRequestKind::Cancel, aPool, aId));
}

void
JobWorld::SendCancel(const std::string& aPool,
                     const std::string& aId,
                     const JobResponseCallback& aAnswer)
{
  Send(CallTo(JobRequestKind::Cancel, aPool, aId), aAnswer);
}

}
