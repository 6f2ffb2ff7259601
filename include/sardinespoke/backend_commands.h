#pragma once

#include "sardinespoke/backend_entry.h"

#include <functional>

namespace sardinespoke {

/// Outcome of a command to a backend server or to host control.
enum class CommandOutcome
{
  Done,
  Fenced,           ///< The receiver has seen a higher fencing token: another leader is active.
  Refused,          ///< The receiver refused it; no effect.
  DeadlineExceeded, ///< It arrived after its deadline; no effect.
  InvalidTicket,    ///< The ticket of an advised step is missing or has expired; no effect.
  Superseded, ///< The receiver has stopped or ended a run of the task with this or a higher number.
  OtherIncarnation, ///< Another incarnation of the backend server responded.
  TargetNotFound,   ///< Nothing listens at the address, or host control has no such host.
  Unknown,          ///< No response; the command may have been or may still be carried out.
  Count
};

/// Destination of a command.
struct BackendAddress
{
  std::string id_;
  std::string address_;
};

/// Names a run of a task.
struct RunId
{
  std::string task_;
  int64_t run_ = 0;

  bool operator==(const RunId& aOther) const = default;
};

struct StartCommand
{
  BackendAddress to_;
  RunId run_;
  std::string payload_;
  std::string checkpoint_;
  std::string ticket_;   ///< Permission of the advice service; empty if the step is not advised.
  int64_t deadline_ = 0; ///< Milliseconds on the backend server's clock.
  int64_t fencingToken_ = 0;
};

struct StopCommand
{
  BackendAddress to_;
  RunId run_;
  int64_t fencingToken_ = 0;
};

/// Sets the share of its processor time that a run may use.
struct ThrottleCommand
{
  BackendAddress to_;
  RunId run_;
  uint32_t percent_ = 100;
  int64_t fencingToken_ = 0;
};

/// Renews the lease of all runs on a backend server, acknowledges its end reports and reads which
/// tasks run there and which have ended.
struct PollCommand
{
  BackendAddress to_;
  int64_t deadline_ = 0; ///< Lease end in ms on the backend server's clock; 0: no renewal.
  int64_t fencingToken_ = 0;
  int64_t acknowledgedUpTo_ = 0; ///< The backend server discards end reports up to this number.
  std::chrono::milliseconds wait_{ 0 }; ///< Longest time that the response waits for a run to end.
};

/// How a run ended.
enum class RunOutcome
{
  Done,
  Failed,
  Stopped,
  LeaseExpired,     ///< The lease of the run expired.
  GroupMemberEnded, ///< Another member of its group ended, which ends the whole group.
  GroupIncomplete,  ///< The other members of its group did not start.
  Count
};

struct RunningTask
{
  RunId run_;
  std::string checkpoint_;
  int64_t percent_ = 0;
  int64_t load_ = 0; ///< Tail latency in ms with a latency target, else thousandths of a core.
};

struct EndedTask
{
  int64_t number_ = 0; ///< Sequence number of the end report; starts anew with each incarnation.
  RunId run_;
  RunOutcome kind_ = RunOutcome::Failed;
  std::string checkpoint_;
};

struct CommandResult
{
  CommandOutcome outcome_ = CommandOutcome::Unknown;
  int64_t clock_ = 0; ///< The backend server's clock in ms; 0 if there was none in the response.
  int64_t startTimeMs_ = 0; ///< Start of the incarnation that responded; 0 if not given.
};

struct PollResult : CommandResult
{
  std::vector<RunningTask> running_;
  std::vector<EndedTask> ended_;
  /// More runs may have ended than ended_ contains, so that a run in neither list may be one of
  /// them.
  bool hasMoreEnds_ = false;
};

/// A command to host control, which checks the fencing token for each host.
struct HostCommand
{
  std::string host_;
  std::string pool_;    ///< Target pool of a move; empty for maintenance.
  int64_t rollout_ = 0; ///< Number of the roll-out that maintenance belongs to.
  int64_t fencingToken_ = 0;
};

/// Asks the advice service which of these backend servers may run a step.
struct AdviceQuery
{
  std::string step_; ///< "JOB.OCCURRENCE.STEP".
  std::vector<std::string> backends_;
  std::chrono::milliseconds timeout_{ 0 };
};

struct AdviceResult
{
  bool ok_ = false;
  bool busy_ = false; ///< The advice service has too many queries waiting.
  std::vector<std::pair<std::string, std::string>> allowed_; ///< Backend server and its ticket.
  std::chrono::milliseconds validFor_{ 0 };
};

struct HostListResult
{
  bool ok_ = false;
  std::vector<HostEntry> hosts_;
};

/// Sends commands without blocking. Each callback runs later on the control thread, exactly once.
class BackendCommandsI
{
public:
  using OnResult = std::function<void(const CommandResult&)>;
  using OnPollResult = std::function<void(const PollResult&)>;
  using OnAdvice = std::function<void(const AdviceResult&)>;
  using OnHosts = std::function<void(const HostListResult&)>;

  virtual ~BackendCommandsI() = default;
  virtual void Start(const StartCommand& aCommand, OnResult aDone) = 0;
  virtual void Stop(const StopCommand& aCommand, OnResult aDone) = 0;
  virtual void Throttle(const ThrottleCommand& aCommand, OnResult aDone) = 0;
  virtual void Poll(const PollCommand& aCommand, OnPollResult aDone) = 0;
  virtual void ChangeHost(const HostCommand& aCommand, OnResult aDone) = 0;
  virtual void ListHosts(OnHosts aDone) = 0;
  virtual void Advise(const AdviceQuery& aQuery, OnAdvice aDone) = 0;
};

}
