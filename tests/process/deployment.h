#pragma once

#include "child_process.h"

#include "history_checker.h"
#include "http_pool_p.h"
#include "load_run.h"
#include "sardinespoke/fleet_map.h"

#include <nlohmann/json.hpp>

#include <atomic>
#include <chrono>
#include <filesystem>
#include <functional>
#include <optional>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace sardinespoke {

/// An HTTP response; status 0 if there was none.
struct CallResult
{
  long status_ = 0;
  nlohmann::json body_;
  std::string text_; ///< The raw body, which may not be JSON.
};

/// Waits until a condition holds.
/// @returns Whether it held before the timeout.
bool
WaitUntil(std::chrono::milliseconds aLimit, const std::function<bool()>& aCondition);

/// Size and delays of a deployment.
struct DeploymentOptions
{
  uint32_t entries_ = 6;
  std::chrono::milliseconds reboot_{ 300 };
  std::chrono::milliseconds stopGrace_{ 300 };
};

/// The stand-in platform, 50 stand-in workers and the daemons as real processes. The addresses are
/// derived from the process id, so that concurrent test programs do not interfere.
class Deployment
{
public:
  static constexpr uint32_t kWorkers = 50;

  explicit Deployment(DeploymentOptions aOptions = {});
  ~Deployment();
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  /// Starts all processes and waits until every daemon dispatches and every pool has hosts.
  /// @returns Whether this state was reached in time.
  bool Start();

  /// @param aEntry Index of the entry host, from 0.
  void StartEntry(uint32_t aEntry);
  ChildProcess& Entry(uint32_t aEntry) { return entries_.at(aEntry); }
  uint32_t EntryCount() const { return options_.entries_; }
  static std::string EntryId(uint32_t aEntry) { return "entry-" + std::to_string(aEntry + 1); }

  /// @returns Whether every daemon may dispatch and lists all members.
  bool AllEntriesServe();

  /// @returns Index of the entry host whose planner is the leader; EntryCount() if none is.
  uint32_t PlannerLeader();

  CallResult Admin(uint32_t aEntry,
                   const std::string& aMethod,
                   const std::string& aPath,
                   const std::string& aBody = "",
                   std::chrono::milliseconds aTimeout = std::chrono::seconds(5));
  CallResult Platform(const std::string& aMethod,
                      const std::string& aPath,
                      const std::string& aBody = "");

  /// Sets faults of the platform. @returns Whether it accepted them.
  bool SetPlatformFaults(const nlohmann::json& aFaults);
  bool SetWorkerFault(uint32_t aWorker, const std::string& aFault);

  /// Writes a profile through an entry host.
  /// @param aBase Revision on which the edit is based.
  CallResult PutProfile(uint32_t aEntry,
                        const std::string& aName,
                        const nlohmann::json& aProfile,
                        const std::string& aChangeId,
                        uint64_t aBase);

  /// @returns The fleet document in the store.
  std::optional<FleetMap> StoredFleet();

  /// Starts a move: writes the fleet document as a planner does.
  /// @returns The new revision; 0 if the write was rejected or its outcome is unknown.
  uint64_t BeginMove(const std::string& aHost, const std::string& aPool);

  /// @returns Settings of a load on all services through all entry hosts, with short timeouts.
  LoadSettings Load(std::chrono::seconds aDuration, uint64_t aSeed) const;

  /// @returns Caller address of an entry host.
  std::string CallerAddress(uint32_t aEntry) const { return EntryIp(aEntry) + ":8100"; }
  std::string WorkerAddress(uint32_t aWorker) const;
  std::string ControlAddress() const { return backendIp_ + ":8900"; }
  const nlohmann::json& Profiles() const { return profiles_; }
  std::string LogFile(const std::string& aName) const { return (directory_ / aName).string(); }

  /// @returns The index of a host, such as 7 for "host-0007".
  static uint32_t WorkerIndex(const std::string& aHost);
  static std::string HostId(uint32_t aWorker);

private:
  std::string EntryIp(uint32_t aEntry) const;
  void WriteSettings(uint32_t aEntry) const;
  CallResult Call(const std::string& aMethod,
                  const std::string& aUrl,
                  const std::string& aBody,
                  std::chrono::milliseconds aTimeout);

  const DeploymentOptions options_;
  std::string net_;
  std::string platformIp_;
  std::string backendIp_;
  std::filesystem::path directory_;
  nlohmann::json profiles_;
  HttpPool http_;
  ChildProcess platform_;
  ChildProcess backend_;
  std::vector<ChildProcess> entries_;
};

/// Load that runs in its own thread and records its history.
class BackgroundLoad
{
public:
  explicit BackgroundLoad(LoadSettings aSettings);
  ~BackgroundLoad();
  BackgroundLoad(const BackgroundLoad&) = delete;
  BackgroundLoad& operator=(const BackgroundLoad&) = delete;

  /// Waits until the load has ended. @returns The summary.
  const nlohmann::json& Wait();

  /// @returns Whether the load is still being sent.
  bool IsRunning() const { return !done_; }

  /// @returns The history; only after Wait().
  std::vector<HistoryLine> History();

private:
  std::ostringstream text_;
  HistoryWriter writer_;
  LoadRun run_;
  nlohmann::json summary_;
  std::atomic<bool> done_{ false };
  std::thread thread_;
};

}
