#pragma once

#include "event_queue.h"
#include "sardinespoke/record_store.h"

#include <list>
#include <map>
#include <string>

namespace sardinespoke {

/// The platform's store in memory, on a manual clock, with switchable faults.
class MemoryRecordStore
{
public:
  enum class Fault
  {
    None,
    Silent,      ///< Calls have no effect and get no answer.
    Refusing,    ///< Calls are refused.
    AnswersLost, ///< Changes take effect; their answers are lost.
    Count
  };

  MemoryRecordStore(ManualClock& aClock, EventQueue& aEvents);

  /// A connection of one client, which can have a fault of its own.
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
    size_t calls_ = 0;

  private:
    void Call(const std::function<RecordReply()>& aEffect, bool aIsChange, const Done& aDone);

    MemoryRecordStore& store_;
  };

  /// Writes without a condition, as operators and backend servers do.
  void Put(const std::string& aKey, const std::string& aValue);
  void Remove(const std::string& aKey);
  const std::map<std::string, Record>& Records() const { return records_; }

  /// Ends leases that ran out and answers watches; call it after each step of the clock.
  void Step();

  /// Forgets the history, so that watches from earlier positions end.
  void DropHistory();

private:
  struct Waiting
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
  bool Answer(const Waiting& aWaiting);

  ManualClock& clock_;
  EventQueue& events_;
  std::map<std::string, Record> records_;
  std::vector<Record> history_;
  int64_t firstKept_ = 0; ///< Watches from before this revision have lost their history.
  int64_t revision_ = 1;
  uint64_t nextLease_ = 1;
  std::map<uint64_t, std::pair<std::chrono::milliseconds, TimePoint>> leases_;
  std::list<Waiting> waiting_;
};

}
