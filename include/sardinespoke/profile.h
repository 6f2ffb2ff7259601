#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace sardinespoke {

/// Scheduling priority of work above the entitlements; lower values first.
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

/// Limits on maintenance of the hosts that serve a profile.
struct MaintenanceRules
{
  /// Availability budget: maximum number of the pool's hosts unavailable at once.
  uint32_t maxUnavailableHosts_ = 1;
  uint32_t maxPerRack_ = 1;
  std::chrono::milliseconds drainLimit_{ 30000 }; ///< Maximum wait for requests in flight.
  /// Time after which a rebooting host counts as failed.
  std::chrono::milliseconds rebootLimit_{ 600000 };

  bool operator==(const MaintenanceRules&) const = default;
};

/// A named profile: slots of a team, urgency of its work, and maintenance rules of its hosts.
struct Profile
{
  std::string name_;
  std::string team_;
  uint32_t entitledSlots_ = 0; ///< Guaranteed slots, covered by the team's vouchers.
  uint32_t maxSlots_ = 0;      ///< Upper limit of the profile's slots; at least entitledSlots_.
  Urgency urgency_ = Urgency::Standard;
  std::chrono::milliseconds queueLimit_{ 2600 }; ///< Maximum wait until a request starts.
  std::chrono::milliseconds runLimit_{ 30000 };  ///< Maximum run time of one attempt.
  uint32_t queueLength_ = 1000;                  ///< Maximum requests queued per entry host.
  MaintenanceRules maintenance_;

  bool operator==(const Profile&) const = default;
};

}
