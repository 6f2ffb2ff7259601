#pragma once

#include "sardinespoke/wait_order.h"

#include <array>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace sardinespoke {

/// Jobs with tasks that are ready and wait for capacity, by pool and in their order.
///
/// Load pattern: thousands of jobs wait for a pool that is full, and each end of a task frees a
/// little of it. Only jobs that have changed are ordered anew, and jobs whose smallest task is
/// larger than what is free are not visited.
class WaitIndex
{
public:
  /// The waiting jobs of one pool. Jobs are kept apart by the size class of their smallest waiting
  /// task: class 0 is always visited, class n needs 2^(n-1) thousandths of a core or more.
  class Pool
  {
  public:
    bool IsEmpty() const { return size_ == 0; }
    size_t Size() const { return size_; }

    /// Waiting jobs by their tenant.
    const std::map<TenantUsage::Id, uint32_t>& Tenants() const { return tenants_; }

  private:
    friend class WaitIndex;
    static constexpr size_t kClasses = 33;

    std::array<std::set<WaitRank>, kClasses> classes_;
    std::map<TenantUsage::Id, uint32_t> tenants_;
    size_t size_ = 0;
  };

  /// Visits waiting jobs of a pool in their order. The index must not be updated meanwhile.
  class Cursor
  {
  public:
    /// @param aFreeCpuMilli Jobs whose waiting tasks all need more are left out.
    Cursor(const Pool& aPool, int64_t aFreeCpuMilli);

    /// @returns The next job; nullptr after the last one.
    const WaitRank* Next();

    /// Leaves out further jobs after some of the capacity was used.
    void Limit(int64_t aFreeCpuMilli);

  private:
    using Position = std::set<WaitRank>::const_iterator;

    std::array<std::pair<Position, Position>, Pool::kClasses> positions_;
    size_t classes_ = 0; ///< Number of size classes that may fit.
  };

  WaitIndex(JobTable& aJobs, const WaitOrder& aOrder);

  /// Takes in the jobs that have changed and those whose order depends on the time.
  void Update(TimePoint aNow);

  /// Remaining work of the waiting jobs before a job of a pool, in core-seconds.
  struct Backlog
  {
    double ahead_ = 0.0;
    double ownAhead_ = 0.0;  ///< The part of it that is of the job's tenant.
    double lateAhead_ = 0.0; ///< Of late jobs of its priority that come before it once it is late.
  };

  /// @param aRank Position of a job, which need not be in the index.
  Backlog BacklogBefore(const std::string& aPool, const WaitRank& aRank) const;

  /// By name. Pools without waiting jobs may be missing or empty.
  const std::map<std::string, Pool>& Pools() const { return pools_; }

private:
  struct Entry
  {
    Pool* pool_ = nullptr; ///< nullptr: not in the index.
    size_t class_ = 0;
    TenantUsage::Id tenant_ = TenantUsage::kNoTenant;
    WaitRank rank_;
    TimePoint rankedAt_{};
  };

  void Refresh(uint32_t aJob, TimePoint aNow);
  void Insert(uint32_t aJob, size_t aClass, TimePoint aNow);
  void Erase(uint32_t aJob);
  /// @returns Size class of the smallest task that is ready and waits; empty if there is none.
  std::optional<size_t> ClassOf(const Job& aJob) const;

  JobTable& jobs_;
  const WaitOrder& order_;
  std::vector<Entry> entries_; ///< By index of the job.
  std::map<std::string, Pool> pools_;
  std::set<std::pair<TimePoint, uint32_t>> lateFrom_; ///< Jobs in time, by when they become late.
  /// Jobs in the order in which they were ranked, with that time; also outdated ones.
  std::deque<std::pair<TimePoint, uint32_t>> ranked_;
};

}
