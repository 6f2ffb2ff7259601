#include "sardinespoke/placement.h"

#include <utility>

namespace sardinespoke {

Placement::Placement(std::string aZone, uint64_t aSeed)
  : zone_(std::move(aZone))
  , random_(static_cast<std::minstd_rand::result_type>(aSeed))
{
}

std::optional<size_t>
Placement::Choose(const std::vector<PlacementCandidate>& aCandidates, const std::string& aAvoidHost)
{
  // Preference classes, best first: 0 own zone, 1 other zones, 2 the host to avoid.
  std::vector<const PlacementCandidate*> best;
  int bestClass = 3;
  for (const PlacementCandidate& candidate : aCandidates) {
    int rank = candidate.zone_ == zone_ ? 0 : 1;
    if (candidate.host_ == aAvoidHost) {
      rank = 2;
    }
    if (rank > bestClass) {
      continue;
    }
    if (rank < bestClass) {
      bestClass = rank;
      best.clear();
    }
    best.push_back(&candidate);
  }
  if (best.empty()) {
    return std::nullopt;
  }
  std::uniform_int_distribution<size_t> pick(0, best.size() - 1);
  const PlacementCandidate* first = best[pick(random_)];
  const PlacementCandidate* second = best[pick(random_)];
  return second->freeSlots_ > first->freeSlots_ ? second->index_ : first->index_;
}

}
