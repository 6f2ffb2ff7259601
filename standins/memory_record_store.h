#pragma once

#include "event_queue.h"
#include "sardinespoke/record_store.h"

#include <list>
#include <map>
#include <string>

namespace sardinespoke {

/// In-memory stand-in for the platform's store, on a manual clock, with fault injection.
class MemoryRecordStore
{
public:
  enum class Fault
  {
    None,
    Unresponsive,  ///< Calls have no effect and get no response.
    Refusing,      ///< Calls are refused.
    ResponsesLost, ///< Transactions take effect; their responses are lost.
    RenewalsLost,  ///< The same for renewals of leases.
    Count
  };

  MemoryRecordStore(ManualClock& aClock, EventQueue& aEvents);

  /// The connection of one client, with its own injected fault.
  class Client final : public RecordStoreI
  {
  public:
    explicit Client(MemoryRecordStore& aStore)
      : store_(aStore)
    {
    }

    void Range(const std::string& aPrefix, const std::string& aAfter, Done aDone) override;
    void Watch(const std::string& aPrefix,
               int64_t aAfter,
               std::chrono::milliseconds aWait,
               Done aDone) override;
    void Commit(const RecordTransaction& aChange, Done aDone) override;
    void Grant(std::chrono::milliseconds aTtl, Done aDone) override;
    void Renew(uint64_t aLease, Done aDone) override;

    Fault fault_ = Fault::None;
    /// Time until reads of a range take effect, by prefix; at once if it is not named.
    std::map<std::string, std::chrono::milliseconds> readDelays_;
    size_t calls_ = 0;

  private:
    void Call(const std::function<RecordReply()>& aEffect, bool aIsLost, const Done& aDone);

    MemoryRecordStore& store_;
  };

  /// Writes without preconditions, as operators and backend servers do.
  void Put(const std::string& aKey, const std::string& aValue);
  void Remove(const std::string& aKey);
  const std::map<std::string, Record>& Records() const { return records_; }

  /// Expires leases and responds to watches; call it after each advance of the clock.
  void Step();

  /// Drops the history of changes, so that watches from earlier revisions get HistoryLost.
  void DropHistory();

private:
  struct PendingWatch
  {
    Client* client_ = nullptr;
    std::string prefix_;
    int64_t after_ = 0;
    TimePoint until_{};
    RecordStoreI::Done done_;
  };

  RecordReply Apply(const RecordTransaction& aChange);
  RecordReply Read(const std::string& aPrefix, const std::string& aAfter) const;
  void Erase(const std::string& aKey);
  bool AnswerWatch(const PendingWatch& aWatch);

  ManualClock& clock_;
  EventQueue& events_;
  std::map<std::string, Record> records_;
  std::vector<Record> history_;
  int64_t oldestRevision_ = 0; ///< Watches from earlier revisions get HistoryLost.
  int64_t revision_ = 1;
  uint64_t nextLease_ = 1;
  std::map<uint64_t, std::pair<std::chrono::milliseconds, TimePoint>> leases_;
  std::list<PendingWatch> pendingWatches_;
};

}
