#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace sardinespoke {

/// Demand by profile.
using DemandEntries = std::map<std::string, uint32_t>;

/// Bytes that one entry takes in a message: the name, its length and the number.
size_t
EncodedEntrySize(const std::string& aProfile);

/// The entries of one message.
struct DemandSelection
{
  DemandEntries entries_; ///< A profile without demand any more has the value 0.
  std::string refreshCursor_;
};

/// What one peer has been sent, and how far the refresh has come.
class PeerDemand
{
public:
  /// Chooses the entries for the next message.
  /// @param aCurrent Demand now.
  /// @param aMaxBytes Bound of the chosen entries' size; at least one changed entry is chosen.
  DemandSelection Select(const DemandEntries& aCurrent, size_t aMaxBytes) const;

  /// The peer has received a message.
  void OnDelivered(const DemandSelection& aSelection);

  /// The peer knows nothing of this daemon: everything is to be sent again.
  void Reset();

private:
  DemandEntries sent_;
  std::string refreshCursor_; ///< The refresh goes on behind this profile.
};

}
