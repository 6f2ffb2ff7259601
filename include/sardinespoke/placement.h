#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace sardinespoke {

/// A backend server that a request may be sent to.
struct PlacementCandidate
{
  size_t index_ = 0; ///< Index of the worker in the caller's own list.
  std::string_view host_;
  std::string_view zone_;
  uint32_t freeSlots_ = 0; ///< Unused slots of this entry host's share, at least 1.
  uint32_t running_ = 0;   ///< In-flight requests from this entry host.
};

/// Chooses a backend server by the power of two choices: of two random candidates, the one with
/// more free slots. Candidates in the entry host's own zone are preferred. Choosing the least
/// loaded of all would make all entry hosts pick the same server at once.
class Placement
{
public:
  /// @param aZone The entry host's own zone.
  Placement(std::string aZone, uint64_t aSeed);

  /// @param aAvoidHost Host that is chosen only if there is no other candidate.
  /// @returns index_ of the chosen candidate; empty if there are no candidates.
  std::optional<size_t> Choose(const std::vector<PlacementCandidate>& aCandidates,
                               const std::string& aAvoidHost);

private:
  std::string zone_;
  std::minstd_rand random_;
};

}
