#include "checkpoint_ledger.h"

#include "sardinespoke/job.h"

namespace sardinespoke {

namespace {

std::string
StepOf(const std::string& aTask)
{
  TaskId id;
  return TaskId::Parse(aTask, id) ? id.StepText() : aTask;
}

}

std::string
CheckpointLedger::Save(const std::string& aTask, double aProgress)
{
  std::string checkpoint = "checkpoint-" + std::to_string(saved_.size() + 1);
  saved_[checkpoint] = Saved{ aTask, aProgress };
  return checkpoint;
}

std::string
CheckpointLedger::CheckStart(const std::string& aTask,
                             int64_t aRun,
                             const std::string& aCheckpoint,
                             bool aIsGang)
{
  if (aIsGang) {
    const auto [first, added] =
      gangCheckpoints_.emplace(std::make_pair(StepOf(aTask), aRun), aCheckpoint);
    if (!added && first->second != aCheckpoint) {
      return aTask + " starts with another checkpoint than its gang";
    }
  }
  if (aCheckpoint.empty()) {
    return "";
  }
  const auto saved = saved_.find(aCheckpoint);
  const bool isOwn =
    saved != saved_.end() &&
    (saved->second.task_ == aTask || (aIsGang && StepOf(saved->second.task_) == StepOf(aTask)));
  return isOwn ? "" : aTask + " starts with a checkpoint of another task";
}

double
CheckpointLedger::ProgressOf(const std::string& aCheckpoint) const
{
  const auto saved = saved_.find(aCheckpoint);
  return saved == saved_.end() ? 0.0 : saved->second.progress_;
}

}
