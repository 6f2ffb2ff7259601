#include "demand_selection_p.h"

#include <algorithm>
#include <vector>

namespace sardinespoke {

namespace {

constexpr size_t kNumberBytes = 5; // A 32-bit integer in CBOR.
constexpr size_t kLengthBytes = 2; // CBOR header of a string of up to 255 bytes.

struct Difference
{
  std::string profile_;
  uint32_t value_ = 0;
  uint32_t size_ = 0;
};

std::vector<Difference>
Differences(const DemandEntries& aSent, const DemandEntries& aCurrent)
{
  std::vector<Difference> differences;
  for (const auto& [profile, value] : aCurrent) {
    auto sent = aSent.find(profile);
    const uint32_t known = sent == aSent.end() ? 0 : sent->second;
    if (known != value) {
      differences.push_back({ profile, value, std::max(known, value) - std::min(known, value) });
    }
  }
  for (const auto& [profile, known] : aSent) {
    if (known != 0 && !aCurrent.contains(profile)) {
      differences.push_back({ profile, 0, known });
    }
  }
  std::stable_sort(differences.begin(),
                   differences.end(),
                   [](const auto& aOne, const auto& aOther) { return aOne.size_ > aOther.size_; });
  return differences;
}

}

size_t
EncodedEntrySize(const std::string& aProfile)
{
  return aProfile.size() + kLengthBytes + kNumberBytes;
}

DemandSelection
PeerDemand::Select(const DemandEntries& aCurrent, size_t aMaxBytes) const
{
  DemandSelection selected{ {}, refreshCursor_ };
  size_t bytes = 0;
  for (const Difference& difference : Differences(sent_, aCurrent)) {
    bytes += EncodedEntrySize(difference.profile_);
    if (bytes > aMaxBytes && !selected.entries_.empty()) {
      return selected;
    }
    selected.entries_[difference.profile_] = difference.value_;
  }
  auto next = aCurrent.upper_bound(refreshCursor_);
  for (size_t count = 0; count < aCurrent.size(); ++count) {
    next = next == aCurrent.end() ? aCurrent.begin() : next;
    bytes += EncodedEntrySize(next->first);
    if (bytes > aMaxBytes) {
      break;
    }
    selected.entries_.insert(*next);
    selected.refreshCursor_ = next->first;
    ++next;
  }
  return selected;
}

void
PeerDemand::OnDelivered(const DemandSelection& aSelection)
{
  for (const auto& [profile, value] : aSelection.entries_) {
    if (value == 0) {
      sent_.erase(profile);
      continue;
    }
    sent_[profile] = value;
  }
  refreshCursor_ = aSelection.refreshCursor_;
}

void
PeerDemand::Reset()
{
  sent_.clear();
  refreshCursor_.clear();
}

}
