#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace sardinespoke {

/// Demand by profile.
using DemandEntries = std::map<std::string, uint32_t>;

/// @returns Encoded size of one entry in a message, in bytes: the name, its length and the number.
size_t
EncodedEntrySize(const std::string& aProfile);

/// The entries of one message.
struct DemandSelection
{
  DemandEntries entries_; ///< 0 for a profile that no longer has demand.
  std::string refreshCursor_;
};

/// Values delivered to one peer, and the position of the cyclic refresh.
class PeerDemand
{
public:
  /// Chooses the entries for the next message.
  /// @param aCurrent Demand now.
  /// @param aMaxBytes Limit of the encoded size; at least one changed entry is chosen regardless.
  DemandSelection Select(const DemandEntries& aCurrent, size_t aMaxBytes) const;

  /// Records that the peer has received a message.
  void OnDelivered(const DemandSelection& aSelection);

  /// Forgets the delivered values, so that all entries are sent again. Called when the peer has no
  /// state of this daemon.
  void Reset();

private:
  DemandEntries sent_;
  std::string refreshCursor_; ///< The refresh continues after this profile.
};

}
