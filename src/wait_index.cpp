#include "sardinespoke/wait_index.h"

#include <algorithm>
#include <bit>

namespace sardinespoke {

namespace {

// A job is ranked anew after this time, since the durations that its queue has learned change.
constexpr std::chrono::milliseconds kRankAge{ 250 };
// Bounds the time of an update while thousands of jobs wait.
constexpr size_t kAgedRanksPerUpdate = 64;

/// @returns Number of size classes whose smallest tasks fit.
size_t
FittingClasses(int64_t aFreeCpuMilli)
{
  return 1 + static_cast<size_t>(std::bit_width(static_cast<uint32_t>(
               std::clamp<int64_t>(aFreeCpuMilli, 0, std::numeric_limits<uint32_t>::max()))));
}

}

WaitIndex::Cursor::Cursor(const Pool& aPool, int64_t aFreeCpuMilli)
  : classes_(FittingClasses(aFreeCpuMilli))
{
  for (size_t index = 0; index < Pool::kClasses; ++index) {
    positions_[index] = { aPool.classes_[index].begin(), aPool.classes_[index].end() };
  }
}

const WaitRank*
WaitIndex::Cursor::Next()
{
  std::pair<Position, Position>* first = nullptr;
  for (size_t index = 0; index < classes_; ++index) {
    auto& [next, end] = positions_[index];
    if (next != end && (!first || *next < *first->first)) {
      first = &positions_[index];
    }
  }
  return first ? &*first->first++ : nullptr;
}

void
WaitIndex::Cursor::Limit(int64_t aFreeCpuMilli)
{
  classes_ = std::min(classes_, FittingClasses(aFreeCpuMilli));
}

WaitIndex::WaitIndex(JobTable& aJobs, const WaitOrder& aOrder)
  : jobs_(aJobs)
  , order_(aOrder)
{
}

void
WaitIndex::Update(TimePoint aNow)
{
  for (const uint32_t job : jobs_.TakeChanged()) {
    Refresh(job, aNow);
  }
  while (!lateFrom_.empty() && lateFrom_.begin()->first < aNow) {
    Refresh(lateFrom_.begin()->second, aNow);
  }
  for (size_t count = 0; count < kAgedRanksPerUpdate && !ranked_.empty(); ++count) {
    const auto [rankedAt, job] = ranked_.front();
    const bool isCurrent = entries_[job].pool_ && entries_[job].rankedAt_ == rankedAt;
    if (isCurrent && aNow - rankedAt < kRankAge) {
      return;
    }
    ranked_.pop_front();
    if (isCurrent) {
      Refresh(job, aNow);
    }
  }
}

WaitIndex::Backlog
WaitIndex::BacklogBefore(const std::string& aPool, const WaitRank& aRank) const
{
  Backlog backlog;
  const auto pool = pools_.find(aPool);
  if (pool == pools_.end()) {
    return backlog;
  }
  const TenantUsage::Id tenant = jobs_.At(aRank.job_).tenant_;
  WaitRank late = aRank;
  late.tier_ = WaitTier::Late;
  WaitRank firstLate = late;
  firstLate.remainingWork_ = 0.0;
  firstLate.job_ = 0;
  for (const auto& ranks : pool->second.classes_) {
    for (auto rank = ranks.begin(); rank != ranks.end() && *rank < aRank; ++rank) {
      backlog.ahead_ += rank->remainingWork_;
      backlog.ownAhead_ += entries_[rank->job_].tenant_ == tenant ? rank->remainingWork_ : 0.0;
    }
    if (aRank.tier_ == WaitTier::Late) {
      continue; // The late jobs before it are counted above.
    }
    for (auto rank = ranks.lower_bound(firstLate); rank != ranks.end() && *rank < late; ++rank) {
      backlog.lateAhead_ += rank->remainingWork_;
    }
  }
  return backlog;
}

void
WaitIndex::Refresh(uint32_t aJob, TimePoint aNow)
{
  if (aJob >= entries_.size()) {
    entries_.resize(aJob + 1);
  }
  Erase(aJob);
  const Job* job = jobs_.Jobs()[aJob].get();
  if (!job || !job->stored_ || job->HasEnded()) {
    return;
  }
  if (const auto size = ClassOf(*job)) {
    Insert(aJob, *size, aNow);
  }
}

void
WaitIndex::Insert(uint32_t aJob, size_t aClass, TimePoint aNow)
{
  const Job& job = jobs_.At(aJob);
  Entry& entry = entries_[aJob];
  entry.pool_ = &pools_[job.policy_.service_];
  entry.class_ = aClass;
  entry.tenant_ = job.tenant_;
  entry.rank_ = order_.RankOf(jobs_, aJob, aNow);
  entry.pool_->classes_[aClass].insert(entry.rank_);
  ++entry.pool_->size_;
  ++entry.pool_->tenants_[entry.tenant_];
  if (entry.rank_.tier_ == WaitTier::InTime) {
    lateFrom_.emplace(entry.rank_.lateFrom_, aJob);
  }
  if (entry.rankedAt_ != aNow) {
    entry.rankedAt_ = aNow;
    ranked_.emplace_back(aNow, aJob);
  }
}

void
WaitIndex::Erase(uint32_t aJob)
{
  Entry& entry = entries_[aJob];
  if (!entry.pool_) {
    return;
  }
  entry.pool_->classes_[entry.class_].erase(entry.rank_);
  --entry.pool_->size_;
  const auto tenant = entry.pool_->tenants_.find(entry.tenant_);
  if (--tenant->second == 0) {
    entry.pool_->tenants_.erase(tenant);
  }
  lateFrom_.erase({ entry.rank_.lateFrom_, aJob });
  entry.pool_ = nullptr;
}

std::optional<size_t>
WaitIndex::ClassOf(const Job& aJob) const
{
  std::optional<size_t> smallest;
  for (uint32_t occurrence = 0; occurrence < aJob.dueOccurrences_; ++occurrence) {
    const auto& steps = aJob.occurrences_[occurrence].steps_;
    for (uint32_t step = 0; step < steps.size(); ++step) {
      const Step& state = steps[step];
      if (state.tasks_.size() == state.done_ + state.active_ ||
          !jobs_.IsReady(aJob, occurrence, step)) {
        continue;
      }
      // The advice service is asked, and places for suspects are reserved, while a pool is full.
      const bool isSuspect = std::any_of(state.tasks_.begin(),
                                         state.tasks_.end(),
                                         [](const Task& aTask) { return aTask.crashes_ > 0; });
      if (isSuspect || aJob.policy_.advised_) {
        return 0;
      }
      const int64_t cpu = aJob.spec_.steps_[step].Need().cpuMilli_;
      const size_t size = FittingClasses(cpu) - 1;
      smallest = std::min(smallest.value_or(size), size);
    }
  }
  return smallest;
}

}
