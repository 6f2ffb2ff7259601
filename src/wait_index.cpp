#include "sardinespoke/wait_index.h"

#include <algorithm>
#include <bit>

namespace sardinespoke {

namespace {

// A job is ranked anew after this time, since the durations that its queue has learned change.
constexpr std::chrono::milliseconds kRankAge{ 250 };
// Bounds the time of an update while thousands of jobs wait.
constexpr size_t kAgedRanksPerUpdate = 64;

/// @returns The size class of a need, which grows with it.
size_t
ClassOf(int64_t aCpuMilli)
{
  constexpr uint32_t kStepBits = 3; // Eight classes for each power of two.
  const auto cpu =
    static_cast<uint32_t>(std::clamp<int64_t>(aCpuMilli, 0, std::numeric_limits<uint32_t>::max()));
  const auto width = static_cast<uint32_t>(std::bit_width(cpu));
  const uint32_t shift = width > kStepBits ? width - kStepBits - 1 : 0;
  return (static_cast<size_t>(shift) << kStepBits) + (cpu >> shift);
}

}

WaitIndex::Cursor::Cursor(const Pool& aPool, int64_t aFreeCpuMilli)
  : freeCpuMilli_(std::max<int64_t>(aFreeCpuMilli, 0))
{
  const auto end = aPool.classes_.upper_bound(ClassOf(freeCpuMilli_));
  for (auto found = aPool.classes_.begin(); found != end; ++found) {
    positions_.push_back({ found->first, found->second.begin(), found->second.end() });
    SkipLarge(positions_.back());
  }
}

void
WaitIndex::Cursor::SkipLarge(Position& aPosition) const
{
  while (aPosition.next_ != aPosition.end_ && aPosition.next_->cpuMilli_ > freeCpuMilli_) {
    ++aPosition.next_;
  }
}

const WaitRank*
WaitIndex::Cursor::Next()
{
  Position* first = nullptr;
  for (Position& position : positions_) {
    if (position.next_ != position.end_ && (!first || *position.next_ < *first->next_)) {
      first = &position;
    }
  }
  if (!first) {
    return nullptr;
  }
  const WaitRank* rank = &*first->next_++;
  SkipLarge(*first);
  return rank;
}

void
WaitIndex::Cursor::Limit(int64_t aFreeCpuMilli)
{
  if (aFreeCpuMilli >= freeCpuMilli_) {
    return;
  }
  freeCpuMilli_ = std::max<int64_t>(aFreeCpuMilli, 0);
  while (!positions_.empty() && positions_.back().class_ > ClassOf(freeCpuMilli_)) {
    positions_.pop_back();
  }
  if (!positions_.empty()) {
    SkipLarge(positions_.back()); // Jobs of smaller classes fit as before.
  }
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
  for (const auto& [size, ranks] : pool->second.classes_) {
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
  if (const auto need = SmallestNeed(*job)) {
    Insert(aJob, *need, aNow);
  }
}

void
WaitIndex::Insert(uint32_t aJob, int64_t aCpuMilli, TimePoint aNow)
{
  const Job& job = jobs_.At(aJob);
  Entry& entry = entries_[aJob];
  entry.pool_ = &pools_[job.policy_.service_];
  entry.tenant_ = job.tenant_;
  entry.rank_ = order_.RankOf(jobs_, aJob, aNow);
  entry.rank_.cpuMilli_ = aCpuMilli;
  entry.pool_->classes_[ClassOf(aCpuMilli)].insert(entry.rank_);
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
  const auto ranks = entry.pool_->classes_.find(ClassOf(entry.rank_.cpuMilli_));
  ranks->second.erase(entry.rank_);
  if (ranks->second.empty()) {
    entry.pool_->classes_.erase(ranks);
  }
  --entry.pool_->size_;
  const auto tenant = entry.pool_->tenants_.find(entry.tenant_);
  if (--tenant->second == 0) {
    entry.pool_->tenants_.erase(tenant);
  }
  lateFrom_.erase({ entry.rank_.lateFrom_, aJob });
  entry.pool_ = nullptr;
}

std::optional<int64_t>
WaitIndex::SmallestNeed(const Job& aJob) const
{
  std::optional<int64_t> smallest;
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
      smallest = std::min(smallest.value_or(cpu), cpu);
    }
  }
  return smallest;
}

}
