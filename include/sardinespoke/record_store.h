#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace sardinespoke {

/// Outcome of a call to the platform's store.
enum class RecordOutcome
{
  Ok,
  Conflict,    ///< A precondition failed; the records are returned as they are now.
  NotFound,    ///< No such key or lease.
  HistoryLost, ///< The watch starts before the kept history; read the range again.
  Refused,     ///< The call had no effect.
  Unknown,     ///< No response; a transaction may have been or may still be carried out.
  Count
};

struct Record
{
  std::string key_;
  std::string value_;
  int64_t revision_ = 0; ///< Revision of the last change of the key.
  int64_t created_ = 0;
  uint64_t lease_ = 0;
  bool removed_ = false; ///< In the result of a watch: the key was deleted.
};

struct RecordPrecondition
{
  std::string key_;
  int64_t revision_ = 0; ///< 0: the key must not exist.
};

struct RecordWrite
{
  std::string key_;
  std::string value_;
  uint64_t lease_ = 0; ///< Lease that the key expires with; 0: none.
};

/// An atomic transaction: writes and deletes if all preconditions hold.
struct RecordTransaction
{
  std::vector<RecordPrecondition> preconditions_;
  std::vector<RecordWrite> writes_;
  std::vector<std::string> deletes_;
};

struct RecordReply
{
  RecordOutcome outcome_ = RecordOutcome::Unknown;
  int64_t revision_ = 0; ///< Revision of the transaction, or the current one of the store.
  std::vector<Record> records_;
  bool more_ = false; ///< The range has a further page.
  uint64_t lease_ = 0;
  std::chrono::milliseconds ttl_{ 0 };
};

/// Asynchronous client of the platform's store. Each callback runs later on the control thread,
/// exactly once.
class RecordStoreI
{
public:
  using Done = std::function<void(const RecordReply&)>;

  virtual ~RecordStoreI() = default;
  virtual void Range(const std::string& aPrefix, const std::string& aAfter, Done aDone) = 0;
  virtual void Watch(const std::string& aPrefix,
                     int64_t aAfter,
                     std::chrono::milliseconds aWait,
                     Done aDone) = 0;
  virtual void Commit(const RecordTransaction& aChange, Done aDone) = 0;
  virtual void Grant(std::chrono::milliseconds aTtl, Done aDone) = 0;
  virtual void Renew(uint64_t aLease, Done aDone) = 0;
};

}
