#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace sardinespoke {

/// A backend server that may be chosen.
struct PlacementCandidate
{
  size_t index_ = 0; ///< The caller's index of the worker.
  std::string_view host_;
  std::string_view zone_;
  uint32_t freeSlots_ = 0; ///< Unused part of this entry host; candidates have at least 1.
  uint32_t running_ = 0;   ///< Requests of this entry host in flight there.
};

/// Chooses the backend server with more free slots of two random ones, in the entry host's own
/// zone if one has room. Two random choices avoid that all entry hosts pick the same least loaded
/// server at once.
class Placement
{
public:
  /// @param aZone The entry host's own zone.
  Placement(std::string aZone, uint64_t aSeed);

  /// @param aAvoidHost Chosen only if nothing else has room.
  /// @returns The index_ of the chosen candidate, or nothing if there is none.
  std::optional<size_t> Choose(const std::vector<PlacementCandidate>& aCandidates,
                               const std::string& aAvoidHost);

private:
  std::string zone_;
  std::minstd_rand random_;
};

}
