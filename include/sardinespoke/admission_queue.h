#pragma once

#include "sardinespoke/clock.h"
#include "sardinespoke/dispatcher.h"

#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace sardinespoke {

/// A request that waits for a slot.
struct QueuedItem
{
  uint64_t ticket_ = 0;
  WorkItem item_;
  TimePoint arrival_;
  TimePoint deadline_;
  std::chrono::nanoseconds cost_{ 0 }; ///< Expected run time at the time of queueing.
};

/// Limits that apply when a request is queued.
struct QueueLimits
{
  uint32_t length_ = 0; ///< Maximum number of queued requests of the profile.
  uint32_t slots_ = 1;  ///< Slots available to the profile, used to estimate the wait.
};

/// Request queues of one pool: one FIFO queue per profile, bounded in length and by deadline.
/// Reads no clock; the owner calls Expire() periodically.
class AdmissionQueue
{
public:
  /// Queues a request. A retry is inserted at the front, because it has already waited.
  /// @returns QueueFull or DeadlineUnreachable if it is refused, nullopt if it was queued.
  std::optional<AdmissionError::Code> Add(const std::string& aProfile,
                                          QueuedItem aItem,
                                          const QueueLimits& aLimits,
                                          TimePoint aNow);

  /// @returns The estimated wait of a request that is queued now: sum of the queued costs divided
  /// by slots.
  std::chrono::nanoseconds EstimateWait(const std::string& aProfile, uint32_t aSlots) const;

  /// Removes a request and frees its queue entry immediately.
  /// @returns Whether it was queued.
  bool Cancel(uint64_t aTicket);

  /// Removes and returns requests whose deadline has passed.
  std::vector<QueuedItem> Expire(TimePoint aNow);

  /// Removes and returns requests whose caller has disconnected.
  std::vector<QueuedItem> TakeCancelled();

  /// Removes and returns all requests, oldest first within a profile.
  std::vector<std::pair<std::string, QueuedItem>> TakeAll();

  /// Selects the profile to serve next by deficit round robin on expected run time.
  /// @param aCandidates Profiles with queued requests, and their weights.
  /// @returns Index into aCandidates.
  size_t ChooseNext(const std::vector<std::pair<std::string, uint32_t>>& aCandidates);

  /// @returns The request at the front of a profile's queue, or null if it is empty.
  const QueuedItem* Front(const std::string& aProfile) const;

  /// Removes the request at the front of a profile's queue, which must not be empty, and deducts
  /// its cost from the profile's deficit counter.
  QueuedItem Pop(const std::string& aProfile);

  size_t Length(const std::string& aProfile) const;
  size_t Size() const { return byTicket_.size(); }

private:
  using ItemList = std::list<QueuedItem>;

  struct ProfileQueue
  {
    ItemList items_;
    std::chrono::nanoseconds cost_{ 0 };    ///< Sum of the costs of items_.
    std::chrono::nanoseconds deficit_{ 0 }; ///< Deficit counter of the round robin.
  };

  struct Position
  {
    ProfileQueue* queue_ = nullptr;
    ItemList::iterator item_;
  };

  QueuedItem Remove(uint64_t aTicket);

  std::map<std::string, ProfileQueue> queues_;
  std::unordered_map<uint64_t, Position> byTicket_;
  std::set<std::pair<TimePoint, uint64_t>> byDeadline_;
  std::string lastServed_; ///< Profile at which the round robin resumes.
};

}
