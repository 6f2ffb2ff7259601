#pragma once

#include "platform_faults.h"
#include "sardinespoke/clock.h"
#include "sardinespoke/host_control.h"
#include "sardinespoke/host_list.h"
#include "sardinespoke/key_value_store.h"

#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <mutex>

namespace sardinespoke {

/// Fixed properties of a MemoryPlatform.
struct MemoryPlatformOptions
{
  /// False makes a watch without changes return immediately; for single-threaded tests.
  bool blockingWatches_ = true;
  std::chrono::milliseconds rebootTime_{ 5000 };
};

/// Persistent content of the key-value service, as in a backup; excludes leased keys.
using PlatformSnapshot = std::map<std::string, std::string>;

/// In-memory implementation of the platform's key-value store, host list and host control, with
/// fault injection. Leases, reboots and the lag of the host list follow the given clock; blocking
/// watches and PlatformFaults::callDelay_ take real time. Thread-safe.
class MemoryPlatform final
  : public KeyValueStoreI
  , public HostListI
  , public HostControlI
{
public:
  static constexpr size_t kMaxValueBytes =
    1000000; ///< Limit of the platform (docs/design.md, 1.5).

  /// @param aClock Must outlive the platform.
  explicit MemoryPlatform(const ClockI& aClock, MemoryPlatformOptions aOptions = {});

  leaf::result<KeyValueItem> Get(const std::string& aKey) override;
  leaf::result<uint64_t> Put(const std::string& aKey,
                             const std::string& aValue,
                             uint64_t aIfVersion,
                             const std::optional<std::string>& aLease) override;
  leaf::result<void> Delete(const std::string& aKey, uint64_t aIfVersion) override;
  leaf::result<KeyValueRange> Range(const std::string& aPrefix) override;
  leaf::result<KeyValueChanges> Watch(const std::string& aPrefix,
                                      uint64_t aAfter,
                                      std::chrono::milliseconds aWait) override;
  leaf::result<std::string> GrantLease(std::chrono::milliseconds aTtl) override;
  leaf::result<void> RenewLease(const std::string& aLease) override;
  leaf::result<void> RevokeLease(const std::string& aLease) override;
  leaf::result<HostListSnapshot> Fetch() override;
  leaf::result<void> Reboot(const std::string& aHost) override;
  leaf::result<HostPower> Power(const std::string& aHost) override;

  PlatformFaults Faults() const;
  /// Replaces all faults.
  void SetFaults(const PlatformFaults& aFaults);
  /// Modifies the current faults.
  void ChangeFaults(const std::function<void(PlatformFaults&)>& aChange);
  /// Expires every lease and deletes its keys, as if no holder had renewed in time.
  void ExpireAllLeases();
  PlatformSnapshot TakeSnapshot() const;
  /// Restarts the store from a snapshot. Resets versions and sequence numbers, deletes all leases
  /// and ends every waiting watch with SequenceLost.
  void RestartWith(const PlatformSnapshot& aSnapshot);

  /// Adds a host to the host list, or replaces it.
  void AddHost(const ListedHost& aHost);
  /// @returns False if the host is not listed.
  bool MarkLeaving(const std::string& aHost, bool aLeaving = true);
  /// @returns False if the host is not listed.
  bool RemoveHost(const std::string& aHost);

  bool IsCutOff(const std::string& aClient) const;
  /// Counts a call that was rejected because its client is cut off.
  void CountRefused();
  PlatformCalls Calls() const;
  /// Ends every waiting watch and makes later ones return immediately; for a server shutdown.
  void Stop();

private:
  struct Entry
  {
    std::string value_;
    uint64_t version_ = 0;
    std::string lease_;
  };

  struct Lease
  {
    std::chrono::milliseconds ttl_{ 0 };
    TimePoint expiry_;
  };

  struct Change
  {
    uint64_t sequence_ = 0;
    std::string key_;
  };

  struct Machine
  {
    uint64_t boot_ = 1;
    bool rebooting_ = false;
    TimePoint upAt_;
  };

  struct ListVersion
  {
    TimePoint since_;
    HostListSnapshot list_;
  };

  using Lock = std::unique_lock<std::mutex>;
  using Counter = uint64_t PlatformCalls::*;
  using DownSwitch = bool PlatformFaults::*;

  /// Waits for callDelay_, counts the call and rejects it if the service is down.
  /// @returns The lock on mutex_.
  leaf::result<Lock> BeginCall(Counter aCounter, DownSwitch aDown);
  void DeleteExpiredLeases();
  void DeleteLease(std::map<std::string, Lease>::iterator aLease);
  void RecordChange(const std::string& aKey);
  bool LoseAnswer(uint32_t PlatformFaults::*aCount);
  bool KnowsSequence(uint64_t aAfter) const;
  KeyValueChanges CollectChanges(const std::string& aPrefix, uint64_t aAfter) const;
  void PublishList(const std::function<void(std::map<std::string, ListedHost>&)>& aChange);
  void CompleteRebootIfDue(const std::string& aHost, Machine& aMachine) const;

  const ClockI& clock_;
  const MemoryPlatformOptions options_;

  mutable std::mutex mutex_;
  std::condition_variable changed_;
  PlatformFaults faults_;
  PlatformCalls calls_;
  bool stopped_ = false;

  std::map<std::string, Entry> entries_;
  std::map<std::string, Lease> leases_;
  std::deque<Change> changes_;
  uint64_t sequence_ = 0;
  uint64_t restarts_ = 0;
  uint64_t nextVersion_ = 1;
  uint64_t nextLease_ = 1;

  std::map<std::string, ListedHost> hosts_;
  std::map<std::string, Machine> machines_;
  std::deque<ListVersion> listHistory_;
};

}
