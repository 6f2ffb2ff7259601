#pragma once

#include "sardinespoke/clock.h"
#include "sardinespoke/record_store.h"

#include <map>
#include <memory>
#include <string>

namespace sardinespoke {

struct FeedSettings
{
  std::string prefix_;
  std::chrono::milliseconds wait_{ 1000 }; ///< How long one watch waits.
  std::chrono::milliseconds gap_{ 0 };     ///< Pause between watches, to gather changes.
};

/// Keeps a copy of the records under a prefix: one read of the range, then watches from its
/// revision. A lost history or a cut watch leads back to the range; no change is missed.
class PrefixFeed
{
public:
  using Records = std::map<std::string, Record>;

  PrefixFeed(RecordStoreI& aStore, const ClockI& aClock, FeedSettings aSettings);

  /// Sends the next call if one is due.
  void Tick();

  bool IsLoaded() const { return loaded_; }
  const Records& All() const { return records_; }

  /// @returns True once after each change.
  bool TakeChanged();

  /// @returns When Tick() has something to do next.
  TimePoint NextDue() const;

private:
  void ReadRange(const std::string& aAfter);
  void OnRange(const RecordReply& aReply);
  void OnWatch(const RecordReply& aReply);
  void Retry();

  RecordStoreI& store_;
  const ClockI& clock_;
  const FeedSettings settings_;
  Records records_;
  Records incoming_; ///< Pages of the range that is being read.
  int64_t incomingRevision_ = 0;
  int64_t revision_ = 0;
  bool loaded_ = false;
  bool needsRange_ = true;
  bool inFlight_ = false;
  bool changed_ = false;
  TimePoint next_{};
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}
