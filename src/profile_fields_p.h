#pragma once

#include "sardinespoke/profile_set.h"

#include <array>

namespace sardinespoke {

/// An integer field of the document. The schema, the reader and the writer share these tables.
template<typename Owner>
struct NumberField
{
  const char* key_;
  uint32_t Owner::*member_;
  uint32_t minimum_;
  uint32_t maximum_;
  const char* unit_;
  bool required_;
};

/// A duration field of the document, in milliseconds; the key ends in "_ms".
template<typename Owner>
struct DurationField
{
  const char* key_;
  std::chrono::milliseconds Owner::*member_;
};

// Far above the fleet expected in two years, to catch typing errors.
constexpr uint32_t kMaxSlots = 1000000;
constexpr uint32_t kMaxHosts = 100000;
constexpr uint32_t kMaxQueueLength = 100000;  // Bounds the memory of a queue on an entry host.
constexpr uint32_t kMaxDurationMs = 86400000; // One day.

inline constexpr std::array kPoolNumbers{
  NumberField<PoolRules>{ "floor_hosts", &PoolRules::floorHosts_, 0, kMaxHosts, "hosts", true },
  NumberField<PoolRules>{ "slots_per_host", &PoolRules::slotsPerHost_, 1, 1024, "slots", false },
  NumberField<PoolRules>{ "connections_per_host",
                          &PoolRules::connectionsPerHost_,
                          1,
                          65535,
                          "connections",
                          false },
};

inline constexpr std::array kProfileNumbers{
  NumberField<Profile>{ "entitled_slots", &Profile::entitledSlots_, 0, kMaxSlots, "slots", true },
  NumberField<Profile>{ "max_slots", &Profile::maxSlots_, 1, kMaxSlots, "slots", true },
  NumberField<Profile>{ "queue_length",
                        &Profile::queueLength_,
                        1,
                        kMaxQueueLength,
                        "requests",
                        false },
};

inline constexpr std::array kProfileDurations{
  DurationField<Profile>{ "queue_limit_ms", &Profile::queueLimit_ },
  DurationField<Profile>{ "run_limit_ms", &Profile::runLimit_ },
};

inline constexpr std::array kMaintenanceNumbers{
  NumberField<MaintenanceRules>{ "max_unavailable_hosts",
                                 &MaintenanceRules::maxUnavailableHosts_,
                                 1,
                                 kMaxHosts,
                                 "hosts",
                                 false },
  NumberField<MaintenanceRules>{ "max_per_rack",
                                 &MaintenanceRules::maxPerRack_,
                                 1,
                                 kMaxHosts,
                                 "hosts",
                                 false },
};

inline constexpr std::array kMaintenanceDurations{
  DurationField<MaintenanceRules>{ "drain_limit_ms", &MaintenanceRules::drainLimit_ },
  DurationField<MaintenanceRules>{ "reboot_limit_ms", &MaintenanceRules::rebootLimit_ },
};

}
