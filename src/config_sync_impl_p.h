#pragma once

#include "config_core_p.h"
#include "sardinespoke/config_sync.h"
#include "sardinespoke/fleet_writer.h"

#include <array>
#include <atomic>
#include <condition_variable>
#include <mutex>
#include <thread>

namespace sardinespoke {

/// Makes the calls that ConfigCore requests, with one thread per loop.
class ConfigSync::Impl
{
public:
  Impl(const ConfigSyncSettings& aSettings,
       KeyValueStoreI& aStore,
       HostListI& aHosts,
       PeerLinkI& aPeers,
       const ClockI& aClock,
       EventLogI& aEvents);

  void Start();
  void Stop();
  void Leave();
  /// Makes all due calls of a loop.
  void RunDueCalls(SyncLoop aLoop);
  TimePoint DispatchUntil() const;
  const ClockI& Clock() const { return clock_; }

  /// Reads the state under the lock.
  template<typename Read>
  auto ReadState(const Read& aRead) const
  {
    const std::lock_guard lock(mutex_);
    return aRead(core_);
  }

  /// Changes the state under the lock, publishes the dispatch deadline and wakes the loops.
  template<typename Change>
  auto UpdateState(const Change& aChange)
  {
    const std::lock_guard lock(mutex_);
    const Publisher publisher(*this);
    return aChange(core_);
  }

private:
  /// Publishes the dispatch deadline and wakes the loops at the end of a change.
  struct Publisher
  {
    explicit Publisher(Impl& aOwner)
      : owner_(aOwner)
    {
    }
    Publisher(const Publisher&) = delete;
    Publisher& operator=(const Publisher&) = delete;
    ~Publisher();
    Impl& owner_;
  };

  void Run(const SyncAction& aAction);
  void GrantLease();
  void RenewLease();
  void WriteRecord();
  void ReadRecord();
  void Join();
  void WriteBack(const std::string& aKey);
  void FetchHosts();
  void ReadStore(std::chrono::milliseconds aWait);
  void Confirm(const SyncAction& aAction);
  void Push(const SyncAction& aAction);
  /// Sends a document, as a patch if there is one from the base revision.
  /// @returns The revision that the peer then has in force; empty if it did not reply.
  std::optional<uint64_t> SendDocument(const SyncAction& aAction, uint64_t aBase);
  leaf::result<nlohmann::json> OnConfirm(const nlohmann::json& aMessage);
  leaf::result<nlohmann::json> OnDocument(const nlohmann::json& aMessage);
  nlohmann::json Status() const;
  void LeaveMembers();
  void ThreadMain(SyncLoop aLoop);
  std::string FullKey(const std::string& aKey) const { return settings_.keyPrefix_ + aKey; }
  std::string EntryKey() const { return FullKey(kEntryPrefix + settings_.id_); }

  const ConfigSyncSettings settings_;
  KeyValueStoreI& store_;
  HostListI& hosts_;
  PeerLinkI& peers_;
  const ClockI& clock_;
  EventLogI& events_;
  FleetWriter writer_;

  mutable std::mutex mutex_;
  std::condition_variable wake_;
  ConfigCore core_;
  bool stop_ = false;
  std::atomic<TimePoint::rep> dispatchUntil_;
  std::array<std::thread, static_cast<size_t>(SyncLoop::Count)> threads_;
};

}
