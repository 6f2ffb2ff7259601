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
  std::chrono::milliseconds wait_{ 1000 }; ///< Maximum wait of one watch call.
  std::chrono::milliseconds gap_{ 0 };     ///< Pause between watch calls, to batch changes.
};

/// Keeps a copy of the records under a prefix: reads the range once, then watches from its
/// revision. Reads the range again if the store has lost the history or has ended the watch, so
/// that no change is missed.
class PrefixFeed
{
public:
  using Records = std::map<std::string, Record>;

  PrefixFeed(RecordStoreI& aStore, const ClockI& aClock, FeedSettings aSettings);

  /// Starts the next call if one is due.
  void Tick();

  bool IsLoaded() const { return loaded_; }
  const Records& All() const { return records_; }

  /// @returns True once after each change.
  bool TakeChanged();

  /// @returns When the latest call that succeeded was sent. The copy has every change that the
  /// store acknowledged before.
  TimePoint ConfirmedAt() const { return confirmedAt_; }

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
  Records incoming_; ///< Records of the range read in progress.
  int64_t incomingRevision_ = 0;
  int64_t revision_ = 0;
  bool loaded_ = false;
  bool needsRange_ = true;
  bool inFlight_ = false;
  bool changed_ = false;
  TimePoint next_{};
  TimePoint sentAt_{}; ///< Of the watch call, or of the first page of the range.
  TimePoint confirmedAt_{};
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}
