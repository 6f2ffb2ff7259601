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
  Starting,  ///< The start command is in flight.
  Running,   ///< The backend server has acknowledged or listed it.
  Uncertain, ///< The start command got no response; it may still be carried out.
  Stopping,  ///< A stop command was sent; the run holds its resources until its end is confirmed.
  Count
};

/// One run of a task on a backend server, with the resources that it holds there.
struct BackendRun
{
  std::optional<TaskRef> task_; ///< Empty if the run belongs to no known task.
  RunId id_;
  RunPhase phase_ = RunPhase::Starting;
  bool everConfirmed_ = false; ///< The backend server has reported it or acknowledged its start.
  /// The next incarnation, which no poll has shown yet, seems to have acknowledged its start.
  bool confirmedByNext_ = false;
  TimePoint sentAt_{};      ///< When the start command was sent first.
  uint32_t startsSent_ = 0; ///< How often it was sent.
  TimePoint confirmedAt_{};
  int64_t confirmedClock_ = 0; ///< The backend server's clock in ms when it first reported it.
  bool proven_ = false;        ///< It has worked for longer than a task that crashes its server.
  bool isAdopted_ = false;     ///< An earlier leader started it.
  bool isSuspect_ = false;     ///< Backend servers have crashed under its task.
  int64_t deadline_ = 0; ///< On the backend server's clock, in ms; it refuses a start after this.
  int64_t fencingToken_ = 0; ///< Of the start command, or of its incarnation if adopted.
  TimePoint stopSentAt_{};
  TimePoint stopDoneAt_{}; ///< When the stop was acknowledged; unset until then.
  bool stopDone_ = false;
  int64_t percent_ = 0;
  TimePoint progressAt_{}; ///< When percent_ last changed.
  int64_t load_ = 0;
  TimePoint aboveTargetSince_{};
  bool aboveTarget_ = false;
  /// Limit of its processor time that the backend server has confirmed.
  uint32_t confirmedCpuPercent_ = 100;
  bool throttleInFlight_ = false; ///< A throttle command is in flight.
  Resources resources_;
  bool isSizeUnknown_ = false;    ///< It may hold the whole server; resources_ is an estimate.
  bool hasLatencyTarget_ = false; ///< The task has a bound on its response times.
  bool isBestEffort_ = false;
  bool isContinuous_ = false;
  std::string checkpoint_;
};

/// One incarnation of a backend server as the leader knows it.
struct Backend
{
  BackendEntry entry_;
  /// A later incarnation under the same id that the registry lists; no answer has confirmed it.
  std::optional<BackendEntry> successor_;
  bool registered_ = false; ///< The registry lists it.
  bool verified_ = false;   ///< It has responded to a poll with this leader's fencing token.
  /// An earlier leader used it and this leader does not know yet all that it runs or has ended.
  bool unreconciled_ = false;
  bool hasUnlistedEnds_ = false; ///< Its newest list of ends was cut off.
  bool hasEnded_ = false;        ///< The incarnation has ended; it runs nothing.
  /// The next incarnation under the same id, once known; it may get commands sent to this one.
  BackendHandle next_;
  /// Of the commands to this incarnation; higher than that of earlier ones under the same id.
  int64_t fencingToken_ = 0;
  int64_t number_ = 0; ///< Of the earlier incarnations under its id that this leader has known.
  /// It has answered a poll with its own fencing token: commands to earlier incarnations that reach
  /// it from then on have no effect.
  bool refusesEarlier_ = false;
  /// When a response first seemed to be of the next incarnation; only a later poll tells.
  std::optional<TimePoint> restartSuspectedAt_;
  /// The store has a record of it, so that a later leader waits for its response.
  bool recorded_ = false;
  /// A move or maintenance of its host was commanded; its tasks count as unavailable.
  bool disruptionStarted_ = false;
  /// It gets no new work because its host is about to be moved or maintained.
  bool cordoned_ = false;
  uint32_t pollsInFlight_ = 0;
  uint32_t failedPolls_ = 0;      ///< Consecutive failures since the last response.
  TimePoint unresponsiveSince_{}; ///< When the first of these failures was seen.
  TimePoint nextPollAt_{};
  TimePoint lastPollAt_{};         ///< When the newest poll was sent.
  TimePoint nextIdlePollAt_{};     ///< Next poll because of starts without a response only.
  TimePoint answeredPollSentAt_{}; ///< Send time of the newest poll with a response.
  TimePoint failedPollSentAt_{};   ///< Send time of the newest poll without a response.
  TimePoint leaseEnd_{};           ///< No run outlives this unless the lease is renewed.
  bool hasInheritedLease_ = false; ///< leaseEnd_ is of the leader that resigned.
  TimePoint renewedUntil_{};       ///< End of the newest lease that a poll has asked for.
  int64_t renewedDeadline_ = 0;    ///< The same on its clock in ms.
  TimePoint leasePollSentAt_{};    ///< Send time of the newest poll that asked for a lease.
  uint64_t lastPoll_ = 0;          ///< Number of the newest poll.
  uint64_t answeredPoll_ = 0;      ///< Number of the newest poll that got a response.
  TimePoint grantedUntil_{};       ///< End of the newest lease that a response has confirmed.
  TimePoint answerDueAt_{};        ///< The response to the newest poll is overdue from then on.
  int64_t clock_ = 0;              ///< Its clock in ms as read at clockAt_.
  TimePoint clockAt_{};
  int64_t endsApplied_ = 0; ///< End reports up to this number are applied to the job table.
  int64_t endsStored_ = 0;  ///< End reports up to this number have their effects in the store.
  /// End reports up to this number were acknowledged to the backend server.
  int64_t endsAcknowledged_ = 0;
  std::vector<BackendRun> runs_;
  Resources used_;
  uint32_t runsOfUnknownSize_ = 0;
  uint32_t continuousRuns_ = 0;
  uint32_t bestEffortRuns_ = 0;
  uint32_t latencyTargetRuns_ = 0; ///< Runs with a bound on their response times.
  TimePoint ejectedUntil_{};
  uint32_t failuresInRow_ = 0;
  uint32_t startsWithoutResponse_ = 0; ///< Consecutive starts without a response.
  std::string lastFailedJob_;
  TimePoint idleSince_{};
  bool listedGone_ = false; ///< Host control's newest list has its host without it.
  /// When the first list without its host was requested, while it does not respond.
  std::optional<TimePoint> missingInListOf_;
  TimePoint reservedUntil_{};           ///< Until then it is kept free for a suspect.
  uint32_t bestEffortCpuPercent_ = 100; ///< Limit of the processor time of best-effort tasks.
  TimePoint belowTargetSince_{}; ///< Since then every task was well below its latency target.

  /// @param aLeadersToken Fencing token of the leader.
  bool HasOwnToken(int64_t aLeadersToken) const { return fencingToken_ == aLeadersToken + number_; }

  BackendAddress Address() const { return BackendAddress{ entry_.id_, entry_.address_ }; }

  /// @returns True while a poll is open and the newest one has no response.
  bool HasOpenPoll() const { return pollsInFlight_ > 0 && answeredPoll_ < lastPoll_; }

  /// @returns A lower bound of its clock in ms.
  int64_t ClockNow(TimePoint aNow) const;

  /// @returns True if a response seems to be of a later incarnation: it names another start time
  /// or, without one, a clock that has gone back.
  /// @param aSent When its command was sent.
  bool IsFromNext(TimePoint aSent, const CommandResult& aResult) const;

  BackendRun* FindRun(const RunId& aRun);

  /// @returns True if this much is certainly free, within its present capacity.
  bool Fits(const Resources& aNeed) const;

  /// @returns True if it has the label that a step requires and runs fewer of its tasks than it
  /// may.
  bool MeetsConstraints(const TaskRef& aTask, const StepSpec& aSpec) const;
};

/// The backend servers of all pools.
class BackendTable
{
public:
  /// Adds an incarnation of a backend server.
  BackendHandle Add(const BackendEntry& aEntry);

  /// @returns The incarnation with this id that has not ended, or an invalid handle.
  BackendHandle Find(const std::string& aId) const;

  /// @returns The latest known incarnation under the id of this one.
  BackendHandle Latest(BackendHandle aBackend) const;

  /// @returns The incarnation on a host; a registered one before others, then one that has
  /// responded; or an invalid handle. One that is not registered may run on without the store.
  BackendHandle OnHost(const std::string& aHost) const;

  /// Call after a change of registered_, verified_ or the host of an incarnation.
  void InvalidateHostIndex() { hostIndexValid_ = false; }

  /// Removes an ended incarnation from the index. Its handle stays valid for late responses.
  void Close(BackendHandle aBackend);

  Backend& At(BackendHandle aBackend) { return *backends_[aBackend.index_]; }
  const Backend& At(BackendHandle aBackend) const { return *backends_[aBackend.index_]; }

  /// Handles of all incarnations that have not ended.
  const std::vector<BackendHandle>& Live() const { return live_; }

  void AddRun(BackendHandle aBackend, BackendRun aRun);
  void RemoveRun(BackendHandle aBackend, const RunId& aRun);

private:
  /// Adds a run to what its backend server uses, or takes it out.
  static void CountRun(Backend& aBackend, const BackendRun& aRun, int32_t aSign);

  std::vector<std::unique_ptr<Backend>> backends_;
  std::vector<BackendHandle> live_;
  std::map<std::string, BackendHandle> byId_;
  mutable std::unordered_map<std::string, BackendHandle> byHost_; ///< Valid while hostIndexValid_.
  mutable bool hostIndexValid_ = false;
};

}
