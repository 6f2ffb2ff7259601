#include "sardinespoke/fair_share.h"

#include "property_check.h"

#include <algorithm>
#include <functional>
#include <numeric>

namespace sardinespoke {
namespace {

using Policy = std::function<std::vector<uint32_t>(uint32_t, const std::vector<ShareClaim>&)>;

uint32_t
Usable(const ShareClaim& aClaim)
{
  return std::min(aClaim.demand_, std::max(aClaim.maxSlots_, aClaim.entitledSlots_));
}

std::vector<ShareClaim>
AnyClaims()
{
  const int count = *rc::gen::inRange(1, 9);
  std::vector<ShareClaim> claims;
  for (int i = 0; i < count; ++i) {
    ShareClaim claim;
    claim.profile_ = "team-" + std::to_string(i);
    claim.demand_ = *rc::gen::inRange(0U, 200U);
    claim.entitledSlots_ = *rc::gen::inRange(0U, 40U);
    claim.maxSlots_ = *rc::gen::inRange(0U, 200U);
    claim.urgency_ = static_cast<Urgency>(*rc::gen::inRange(0, 3));
    claims.push_back(claim);
  }
  return claims;
}

/// Fails if the pool covers all entitlements but a team gets less than its demand within its
/// entitlement.
void
CheckEntitlements(const Policy& aPolicy)
{
  const std::vector<ShareClaim> claims = AnyClaims();
  uint32_t entitled = 0;
  for (const ShareClaim& claim : claims) {
    entitled += claim.entitledSlots_;
  }
  const uint32_t slots = entitled + *rc::gen::inRange(0U, 100U);
  const std::vector<uint32_t> shares = aPolicy(slots, claims);
  for (size_t i = 0; i < claims.size(); ++i) {
    RC_ASSERT(shares[i] >= std::min(claims[i].demand_, claims[i].entitledSlots_));
  }
}

/// Mutant: max-min fairness by urgency that ignores entitlements.
std::vector<uint32_t>
IgnoreEntitlements(uint32_t aSlots, const std::vector<ShareClaim>& aClaims)
{
  std::vector<ShareClaim> claims = aClaims;
  for (ShareClaim& claim : claims) {
    claim.maxSlots_ = std::max(claim.maxSlots_, claim.entitledSlots_);
    claim.entitledSlots_ = 0;
  }
  return FairShare(aSlots, claims);
}

// Guards against a team that loses entitled slots to others. The mutant must fail, which proves
// that the check detects this.
TEST(FairShare, EntitlementsComeFirst)
{
  std::string report;
  EXPECT_TRUE(Holds([] { CheckEntitlements(FairShare); }, report)) << report;
  EXPECT_FALSE(Holds([] { CheckEntitlements(IgnoreEntitlements); }, report));
}

// Guards against slots given twice, idle slots while there is demand, and exceeding a maximum.
TEST(FairShare, UsesAllSlotsWithinLimits)
{
  std::string report;
  const auto property = [] {
    const std::vector<ShareClaim> claims = AnyClaims();
    const uint32_t slots = *rc::gen::inRange(0U, 400U);
    const std::vector<uint32_t> shares = FairShare(slots, claims);
    uint32_t usable = 0;
    for (size_t i = 0; i < claims.size(); ++i) {
      RC_ASSERT(shares[i] <= Usable(claims[i]));
      usable += Usable(claims[i]);
    }
    const uint32_t given = std::accumulate(shares.begin(), shares.end(), 0U);
    RC_ASSERT(given == std::min(slots, usable));
  };
  EXPECT_TRUE(Holds(property, report)) << report;
}

// Guards against entry hosts that compute different shares because of the order of their claims.
TEST(FairShare, OrderOfClaimsDoesNotMatter)
{
  std::string report;
  const auto property = [] {
    std::vector<ShareClaim> claims = AnyClaims();
    const uint32_t slots = *rc::gen::inRange(0U, 400U);
    std::vector<uint32_t> shares = FairShare(slots, claims);
    std::reverse(claims.begin(), claims.end());
    std::reverse(shares.begin(), shares.end());
    RC_ASSERT(FairShare(slots, claims) == shares);
  };
  EXPECT_TRUE(Holds(property, report)) << report;
}

// Guards against slots above the entitlement for less urgent work while more urgent work of another
// team has unmet demand.
TEST(FairShare, UrgentWorkComesFirstAboveEntitlements)
{
  const std::vector<ShareClaim> claims = { { "batch", 100, 20, 100, Urgency::Batch },
                                           { "urgent", 70, 10, 100, Urgency::Urgent },
                                           { "standard", 100, 10, 30, Urgency::Standard } };
  EXPECT_EQ(FairShare(100, claims), (std::vector<uint32_t>{ 20, 70, 10 }));
  EXPECT_EQ(FairShare(150, claims), (std::vector<uint32_t>{ 50, 70, 30 }));
}

// Guards against an unfair reduction of entitlements if failures leave fewer slots than these need.
TEST(FairShare, ShortPoolShrinksEntitlementsByWeight)
{
  const std::vector<ShareClaim> claims = { { "a", 100, 60, 60, Urgency::Batch },
                                           { "b", 100, 30, 30, Urgency::Urgent } };
  EXPECT_EQ(FairShare(45, claims), (std::vector<uint32_t>{ 30, 15 }));
}

}
}
