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
  std::chrono::nanoseconds cost_{ 0 }; ///< Learned run time when it was queued.
};

/// Limits that apply when a request is queued.
struct QueueLimits
{
  uint32_t length_ = 0; ///< Most requests queued for the profile.
  uint32_t slots_ = 1;  ///< Slots the profile can count on; the wait is estimated from it.
};

/// Queues of one pool, one per profile, first-in first-out inside a profile. Bounded in length and
/// by deadline. Holds no clock; the owner calls Expire() regularly.
class AdmissionQueue
{
public:
  /// Queues a request, or tells why it is refused. A retry goes to the front, because it has
  /// already waited.
  /// @returns QueueFull, DeadlineUnreachable, or nothing if it was queued.
  std::optional<AdmissionError::Code> Add(const std::string& aProfile,
                                          QueuedItem aItem,
                                          const QueueLimits& aLimits,
                                          TimePoint aNow);

  /// @returns The wait of a request that is queued now: learned cost of the queue by slots.
  std::chrono::nanoseconds EstimateWait(const std::string& aProfile, uint32_t aSlots) const;

  /// Removes a request; its place is free at once.
  /// @returns Whether it was queued.
  bool Cancel(uint64_t aTicket);

  /// Removes and returns requests whose deadline has passed.
  std::vector<QueuedItem> Expire(TimePoint aNow);

  /// Removes and returns requests whose caller has gone.
  std::vector<QueuedItem> TakeCancelled();

  /// Removes and returns everything, oldest first inside a profile.
  std::vector<std::pair<std::string, QueuedItem>> TakeAll();

  /// Chooses the profile that is served next by deficit round robin on learned cost.
  /// @param aCandidates Profiles with a queue, and their weights.
  /// @returns Index into aCandidates.
  size_t ChooseNext(const std::vector<std::pair<std::string, uint32_t>>& aCandidates);

  /// @returns The oldest request of a profile, or null if there is none.
  const QueuedItem* Front(const std::string& aProfile) const;

  /// Removes the oldest request of a profile, which must exist, and charges its cost.
  QueuedItem Pop(const std::string& aProfile);

  size_t Length(const std::string& aProfile) const;
  size_t Size() const { return byTicket_.size(); }

private:
  using ItemList = std::list<QueuedItem>;

  struct ProfileQueue
  {
    ItemList items_;
    std::chrono::nanoseconds cost_{ 0 };    ///< Sum over items_.
    std::chrono::nanoseconds deficit_{ 0 }; ///< Deficit round robin credit.
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
  std::string lastServed_; ///< The round robin continues after this profile.
};

}
