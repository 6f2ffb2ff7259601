#pragma once

#include "sardinespoke/backend_entry.h"

#include <functional>

namespace sardinespoke {

/// How an order to a backend server or to host control ended.
enum class CommandOutcome
{
  Done,
  Fenced,            ///< A higher fence was seen there: another owner is active.
  Refused,           ///< It had no effect.
  DeadlineExceeded,  ///< It arrived after its deadline and had no effect.
  InvalidTicket,     ///< The ticket of an advised step is missing or has expired.
  Superseded,        ///< The run is not above one that was stopped or ended there.
  OtherIncarnation,  ///< Another incarnation answered.
  ConnectionRefused, ///< Nothing listens at the address.
  Unknown,           ///< No answer; it may have been or may still be carried out.
  Count
};

/// Where an order goes.
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
};

struct StartCommand
{
  BackendAddress to_;
  RunId run_;
  std::string payload_;
  std::string checkpoint_;
  std::string ticket_;   ///< Of an advised step; empty for others.
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

/// Renews the lease of everything that runs, acknowledges ends and reads what runs.
struct PollCommand
{
  BackendAddress to_;
  int64_t deadline_ = 0; ///< Milliseconds on the backend server's clock; 0: no renewal.
  int64_t fencingToken_ = 0;
  int64_t acknowledgedUpTo_ = 0;        ///< Ends up to this number are forgotten there.
  std::chrono::milliseconds wait_{ 0 }; ///< How long the answer waits for an end.
};

/// How a run ended.
enum class RunOutcome
{
  Done,
  Failed,
  Stopped,
  LeaseExpired,     ///< The lease ran out.
  GroupMemberEnded, ///< Another member of its group ended.
  GroupIncomplete,  ///< The other members of its group did not come.
  Count
};

struct RunningTask
{
  RunId run_;
  std::string checkpoint_;
  int64_t percent_ = 0;
  int64_t load_ = 0; ///< Latency tail in ms of a serving task, thousandths of a core of others.
};

struct EndedTask
{
  int64_t number_ = 0; ///< Rises within one life of the backend server.
  RunId run_;
  RunOutcome kind_ = RunOutcome::Failed;
  std::string checkpoint_;
};

struct CommandResult
{
  CommandOutcome outcome_ = CommandOutcome::Unknown;
  int64_t clock_ = 0; ///< The backend server's clock in ms; 0 if there was none in the answer.
  int64_t startTimeMs_ = 0; ///< 0 if there was none in the answer.
};

struct PollResult : CommandResult
{
  std::vector<RunningTask> running_;
  std::vector<EndedTask> ended_;
};

/// An order to host control; fenced for each host.
struct HostCommand
{
  std::string host_;
  std::string pool_;    ///< Target of a move; empty for maintenance.
  int64_t rollout_ = 0; ///< The roll-out that maintenance belongs to.
  int64_t fencingToken_ = 0;
};

/// A question to the advice service: which of these backend servers may run a step.
struct AdviceQuery
{
  std::string step_; ///< "JOB.OCCURRENCE.STEP".
  std::vector<std::string> backends_;
  std::chrono::milliseconds timeout_{ 0 };
};

struct AdviceResult
{
  bool ok_ = false;
  bool busy_ = false;                                        ///< Too many questions wait there.
  std::vector<std::pair<std::string, std::string>> allowed_; ///< Backend server and its ticket.
  std::chrono::milliseconds validFor_{ 0 };
};

struct HostListResult
{
  bool ok_ = false;
  std::vector<HostEntry> hosts_;
};

/// Sends orders without waiting; each callback runs later on the control thread, exactly once.
class BackendCommandsI
{
public:
  using OnResult = std::function<void(const CommandResult&)>;
  using OnPollResult = std::function<void(const PollResult&)>;
  using OnAdvice = std::function<void(const AdviceResult&)>;
  using OnHosts = std::function<void(const HostListResult&)>;

  virtual ~BackendCommandsI() = default;
  virtual void Start(const StartCommand& aOrder, OnResult aDone) = 0;
  virtual void Stop(const StopCommand& aOrder, OnResult aDone) = 0;
  virtual void Throttle(const ThrottleCommand& aOrder, OnResult aDone) = 0;
  virtual void Poll(const PollCommand& aOrder, OnPollResult aDone) = 0;
  virtual void ChangeHost(const HostCommand& aOrder, OnResult aDone) = 0;
  virtual void ListHosts(OnHosts aDone) = 0;
  virtual void Advise(const AdviceQuery& aQuery, OnAdvice aDone) = 0;
};

}
