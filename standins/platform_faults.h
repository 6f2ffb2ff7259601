#pragma once

#include <chrono>
#include <cstdint>
#include <set>
#include <string>

namespace sardinespoke {

/// Faults of the stand-in platform that stay until they are switched off.
struct PlatformFaults
{
  bool storeDown_ = false;
  bool hostListDown_ = false;
  bool hostControlDown_ = false;
  std::chrono::milliseconds callDelay_{ 0 }; ///< Real time added before each call takes effect.
  uint32_t loseWriteResponses_ = 0;          ///< Next puts and deletes that take effect unanswered.
  uint32_t loseRebootResponses_ = 0;         ///< Next reboots that start unanswered.
  std::chrono::milliseconds hostListLag_{ 0 }; ///< Age of the host list that is served.
  std::set<std::string> stuckHosts_;           ///< Hosts that do not come back from a reboot.
  std::set<std::string> cutOffClients_;        ///< Names of PlatformView clients without a path.
};

/// Calls that reached the platform, by kind. A waiting watch counts once; a call refused because
/// the service is down or the client is cut off counts only as refused.
struct PlatformCalls
{
  uint64_t reads_ = 0; ///< Gets and ranges.
  uint64_t writes_ = 0;
  uint64_t watches_ = 0;
  uint64_t leases_ = 0;
  uint64_t hostLists_ = 0;
  uint64_t hostControls_ = 0;
  uint64_t refused_ = 0;

  /// @returns Calls of all kinds that were served.
  uint64_t Served() const
  {
    return reads_ + writes_ + watches_ + leases_ + hostLists_ + hostControls_;
  }
};

}
