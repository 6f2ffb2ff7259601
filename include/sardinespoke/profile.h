#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace sardinespoke {

/// Order of the work above the entitlements; lower values first.
enum class Urgency
{
  Urgent,
  Standard,
  Batch,
  Count
};

/// @returns "urgent", "standard" or "batch".
const char*
UrgencyName(Urgency aUrgency);

/// How the hosts behind a profile may be taken for maintenance.
struct MaintenanceRules
{
  uint32_t maxUnavailableHosts_ =
    1; ///< Availability budget: hosts of the pool unavailable at once.
  uint32_t maxPerRack_ = 1;
  std::chrono::milliseconds drainLimit_{ 30000 }; ///< Longest wait for requests in flight.
  std::chrono::milliseconds rebootLimit_{
    600000
  }; ///< After this a rebooting host counts as failed.

  bool operator==(const MaintenanceRules&) const = default;
};

/// A named profile: what a team may hold, how urgent its work is, how its hosts may be maintained.
struct Profile
{
  std::string name_;
  std::string team_;
  uint32_t entitledSlots_ = 0; ///< Guaranteed share, covered by the team's vouchers.
  uint32_t maxSlots_ = 0;      ///< Most the profile may hold; at least entitledSlots_.
  Urgency urgency_ = Urgency::Standard;
  std::chrono::milliseconds queueLimit_{ 2600 }; ///< Longest wait until a request starts.
  std::chrono::milliseconds runLimit_{ 30000 };  ///< Longest run of one attempt.
  uint32_t queueLength_ = 1000;                  ///< Most requests queued per entry host.
  MaintenanceRules maintenance_;

  bool operator==(const Profile&) const = default;
};

}
