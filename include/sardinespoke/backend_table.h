#pragma once

#include "sardinespoke/backend_commands.h"
#include "sardinespoke/backend_entry.h"
#include "sardinespoke/job_table.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace sardinespoke {

enum class RunPhase
{
  Starting,  ///< The start order is on its way.
  Running,   ///< The backend server has it.
  Uncertain, ///< The start order got no answer; it may still be carried out.
  Stopping,  ///< A stop order was sent; it counts until its end is listed.
  Count
};

/// One run of a task on a backend server, with what it holds there.
struct BackendRun
{
  std::optional<TaskRef> task_; ///< Empty if it belongs to no known task.
  RunId id_;
  RunPhase phase_ = RunPhase::Starting;
  bool everConfirmed_ = false; ///< The backend server has reported it or acknowledged its start.
  TimePoint sentAt_{};
  TimePoint confirmedAt_{};
  int64_t deadline_ = 0; ///< On the backend server's clock: a start carried out later is refused.
  TimePoint stopSentAt_{};
  TimePoint stopDoneAt_{}; ///< The stop was acknowledged; unset before.
  bool stopDone_ = false;
  int64_t percent_ = 0;
  TimePoint progressAt_{}; ///< When percent_ last changed.
  int64_t load_ = 0;
  TimePoint aboveTargetSince_{};
  bool aboveTarget_ = false;
  uint32_t confirmedCpuPercent_ =
    100; ///< Percent of its processor time, as the backend server has confirmed.
  bool throttleInFlight_ = false; ///< An order is on its way.
  Resources resources_;
  bool hasLatencyTarget_ = false; ///< A lasting task with a bound on its response times.
  bool isBestEffort_ = false;
  std::string checkpoint_;
};

/// One life of a backend server as the owner knows it.
struct Backend
{
  BackendEntry entry_;
  bool registered_ = false;        ///< In the registry.
  bool verified_ = false;          ///< It has answered under the present fence.
  bool unreconciled_ = false;      ///< An earlier owner used it and it has not answered since.
  bool hasEnded_ = false;          ///< This life has ended; nothing runs there.
  bool recorded_ = false;          ///< The store lists it as possibly in use.
  bool disruptionStarted_ = false; ///< Its host was ordered away; what runs there counts as away.
  bool cordoned_ = false;          ///< No new work: its host is about to move or be maintained.
  uint32_t pollsInFlight_ = 0;
  uint32_t failedPolls_ = 0;      ///< Since the last answer.
  TimePoint unresponsiveSince_{}; ///< Of the first of these.
  TimePoint nextPollAt_{};
  TimePoint answeredPollSentAt_{}; ///< When the newest look that was answered had been sent.
  TimePoint leaseEnd_{};           ///< After this nothing runs there unless the lease is renewed.
  int64_t clock_ = 0;              ///< Its clock in ms at clockAt_.
  TimePoint clockAt_{};
  int64_t endsApplied_ = 0;      ///< Ends up to this number are applied to the job table.
  int64_t endsStored_ = 0;       ///< Ends up to this number are in the store.
  int64_t endsAcknowledged_ = 0; ///< Ends up to this number were acknowledged to it.
  std::vector<BackendRun> runs_;
  Resources used_;
  TimePoint ejectedUntil_{};
  uint32_t failuresInRow_ = 0;
  uint32_t unansweredStartsInRow_ = 0; ///< In a row.
  std::string lastFailedJob_;
  TimePoint idleSince_{};
  uint32_t bestEffortCpuPercent_ = 100; ///< Processor time that tasks which fill idle time may use.
  TimePoint belowTargetSince_{};        ///< Since then no serving task was near its target.

  BackendAddress Address() const { return BackendAddress{ entry_.id_, entry_.address_ }; }

  /// @returns Its clock in ms, never ahead of the real one.
  int64_t ClockNow(TimePoint aNow) const;

  BackendRun* FindRun(const RunId& aRun);
  bool Fits(const Resources& aNeed) const;
};

/// The backend servers of all pools.
class BackendTable
{
public:
  /// Adds a life of a backend server.
  BackendHandle Add(const BackendEntry& aEntry);

  /// @returns The life with this id that is not over, or an invalid handle.
  BackendHandle Find(const std::string& aId) const;

  /// @returns The listed life on a host, or an invalid handle.
  BackendHandle OnHost(const std::string& aHost) const;

  /// The registry has changed what is listed, or the host of a life.
  void InvalidateHostIndex() { hostIndexValid_ = false; }

  /// Ends a life in the index. Its record stays, so that late answers find it.
  void Close(BackendHandle aBackend);

  Backend& At(BackendHandle aBackend) { return *backends_[aBackend.index_]; }
  const Backend& At(BackendHandle aBackend) const { return *backends_[aBackend.index_]; }

  /// Handles of all lives that are not over.
  const std::vector<BackendHandle>& Live() const { return live_; }

  void AddRun(BackendHandle aBackend, BackendRun aRun);
  void RemoveRun(BackendHandle aBackend, const RunId& aRun);

private:
  std::vector<std::unique_ptr<Backend>> backends_;
  std::vector<BackendHandle> live_;
  std::map<std::string, BackendHandle> byId_;
  mutable std::unordered_map<std::string, BackendHandle> byHost_; ///< Valid while hostIndexValid_.
  mutable bool hostIndexValid_ = false;
};

}
