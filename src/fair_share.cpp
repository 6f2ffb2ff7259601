#include "sardinespoke/fair_share.h"

#include <algorithm>
#include <numeric>
#include <queue>

namespace sardinespoke {

namespace {

/// State of one claim during progressive filling.
struct ClaimFill
{
  size_t claim_ = 0;
  size_t rank_ = 0; ///< Index in the order of profile names; breaks ties.
  uint64_t weight_ = 1;
  uint64_t given_ = 0;
  uint64_t cap_ = 0;
};

/// Priority queue order with the lowest (given + 1) / weight on top.
struct HigherFillLevel
{
  bool operator()(const ClaimFill& aLeft, const ClaimFill& aRight) const
  {
    const uint64_t left = (aLeft.given_ + 1) * aRight.weight_;
    const uint64_t right = (aRight.given_ + 1) * aLeft.weight_;
    return left != right ? left > right : aLeft.rank_ > aRight.rank_;
  }
};

/// Weighted max-min fairness by progressive filling, one slot at a time.
/// @returns Remaining slots.
uint32_t
WaterFill(uint32_t aSlots, const std::vector<ClaimFill>& aFillings, std::vector<uint32_t>& aResult)
{
  std::priority_queue<ClaimFill, std::vector<ClaimFill>, HigherFillLevel> heap;
  for (const ClaimFill& filling : aFillings) {
    if (filling.cap_ > 0) {
      heap.push(filling);
    }
  }
  while (aSlots > 0 && !heap.empty()) {
    ClaimFill filling = heap.top();
    heap.pop();
    ++filling.given_;
    ++aResult[filling.claim_];
    --aSlots;
    if (filling.given_ < filling.cap_) {
      heap.push(filling);
    }
  }
  return aSlots;
}

uint32_t
UsableSlots(const ShareClaim& aClaim)
{
  return std::min(aClaim.demand_, std::max(aClaim.maxSlots_, aClaim.entitledSlots_));
}

}

std::vector<uint32_t>
FairShare(uint32_t aSlots, const std::vector<ShareClaim>& aClaims)
{
  std::vector<size_t> order(aClaims.size());
  std::iota(order.begin(), order.end(), 0);
  std::sort(order.begin(), order.end(), [&](size_t aLeft, size_t aRight) {
    return aClaims[aLeft].profile_ < aClaims[aRight].profile_;
  });

  std::vector<uint32_t> result(aClaims.size(), 0);
  std::vector<ClaimFill> entitled;
  for (size_t rank = 0; rank < order.size(); ++rank) {
    const ShareClaim& claim = aClaims[order[rank]];
    const uint32_t cap = std::min(UsableSlots(claim), claim.entitledSlots_);
    entitled.push_back({ order[rank], rank, std::max(claim.entitledSlots_, 1U), 0, cap });
  }
  uint32_t left = WaterFill(aSlots, entitled, result);

  for (int urgency = 0; urgency < static_cast<int>(Urgency::Count); ++urgency) {
    std::vector<ClaimFill> above;
    for (const ClaimFill& filling : entitled) {
      const ShareClaim& claim = aClaims[filling.claim_];
      if (claim.urgency_ != static_cast<Urgency>(urgency)) {
        continue;
      }
      const uint32_t cap = UsableSlots(claim) - result[filling.claim_];
      above.push_back({ filling.claim_, filling.rank_, filling.weight_, 0, cap });
    }
    left = WaterFill(left, above, result);
  }
  return result;
}

std::vector<uint32_t>
ProportionalParts(uint32_t aTotal, const std::vector<uint64_t>& aWeights)
{
  std::vector<uint32_t> parts(aWeights.size(), 0);
  const uint64_t sum = std::accumulate(aWeights.begin(), aWeights.end(), uint64_t{ 0 });
  if (sum == 0) {
    return parts;
  }
  std::vector<size_t> byRemainder(aWeights.size());
  std::iota(byRemainder.begin(), byRemainder.end(), 0);
  uint32_t left = aTotal;
  for (size_t i = 0; i < aWeights.size(); ++i) {
    parts[i] = static_cast<uint32_t>(aTotal * aWeights[i] / sum);
    left -= parts[i];
  }
  std::stable_sort(byRemainder.begin(), byRemainder.end(), [&](size_t aLeft, size_t aRight) {
    return aTotal * aWeights[aLeft] % sum > aTotal * aWeights[aRight] % sum;
  });
  for (size_t i = 0; i < left; ++i) {
    ++parts[byRemainder[i]];
  }
  return parts;
}

std::vector<uint32_t>
SystematicParts(uint32_t aTotal, const std::vector<uint64_t>& aWeights, size_t aTurn)
{
  constexpr uint64_t kFixedPointOne = 1ULL << 16U;
  constexpr uint64_t kGoldenRatio = 40503; // (sqrt(5) - 1) / 2 in units of kFixedPointOne.
  std::vector<uint32_t> parts(aWeights.size(), 0);
  const uint64_t sum = std::accumulate(aWeights.begin(), aWeights.end(), uint64_t{ 0 });
  if (sum == 0) {
    return parts;
  }
  // Starts at half a unit, so that turn 0 rounds to the nearest integer.
  const uint64_t offset = (kFixedPointOne / 2 + aTurn * kGoldenRatio) % kFixedPointOne;
  const auto boundary = [&](uint64_t aBefore) {
    return (aBefore * aTotal * kFixedPointOne + offset * sum) / (sum * kFixedPointOne);
  };
  uint64_t before = 0;
  for (size_t i = 0; i < aWeights.size(); ++i) {
    const uint64_t after = before + aWeights[i];
    parts[i] = static_cast<uint32_t>(boundary(after) - boundary(before));
    before = after;
  }
  return parts;
}

}
