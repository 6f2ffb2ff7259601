#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace sardinespoke {

/// How a call to the platform's store ended.
enum class RecordOutcome
{
  Ok,
  Conflict,    ///< An expected revision differs; the items are as they are now.
  NotFound,    ///< No such key or lease.
  HistoryLost, ///< The watch position is gone; read the range again.
  Refused,     ///< Nothing was done.
  Unknown,     ///< No answer; a change may have been or may still be carried out.
  Count
};

struct Record
{
  std::string key_;
  std::string value_;
  int64_t revision_ = 0; ///< Of the last change.
  int64_t created_ = 0;
  uint64_t lease_ = 0;
  bool removed_ = false; ///< In a watch: the key is gone.
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
  uint64_t lease_ = 0; ///< 0: none.
};

/// All or nothing.
struct RecordTransaction
{
  std::vector<RecordPrecondition> preconditions_;
  std::vector<RecordWrite> writes_;
  std::vector<std::string> deletes_;
};

struct RecordReply
{
  RecordOutcome outcome_ = RecordOutcome::Unknown;
  int64_t revision_ = 0; ///< Of the change, or the store's current one.
  std::vector<Record> records_;
  bool more_ = false; ///< A range has a further page.
  uint64_t lease_ = 0;
  std::chrono::milliseconds ttl_{ 0 };
};

/// The platform's store without waiting; each callback runs later on the control thread, once.
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
