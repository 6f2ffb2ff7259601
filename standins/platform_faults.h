#pragma once

#include <chrono>
#include <cstdint>
#include <set>
#include <string>

namespace sardinespoke {

/// Faults of the stand-in platform, in effect until they are cleared.
struct PlatformFaults
{
  bool storeDown_ = false;
  bool hostListDown_ = false;
  bool hostControlDown_ = false;
  std::chrono::milliseconds callDelay_{ 0 }; ///< Real time added before each call takes effect.
  uint32_t loseWriteResponses_ = 0;  ///< Number of next puts and deletes whose response is lost.
  uint32_t loseRebootResponses_ = 0; ///< Number of next reboots whose response is lost.
  std::chrono::milliseconds hostListLag_{ 0 }; ///< Age of the served host list.
  std::set<std::string> stuckHosts_;           ///< Hosts that never complete a reboot.
  std::set<std::string> cutOffClients_;        ///< Clients of PlatformView without a connection.
};

/// Number of calls to the platform by kind. A blocking watch counts once; a call that is rejected
/// because the service is down or the client is cut off counts only as refused.
struct PlatformCalls
{
  uint64_t reads_ = 0; ///< Gets and ranges.
  uint64_t writes_ = 0;
  uint64_t watches_ = 0;
  uint64_t leases_ = 0;
  uint64_t hostLists_ = 0;
  uint64_t hostControls_ = 0;
  uint64_t refused_ = 0;

  /// @returns Number of served calls of all kinds.
  uint64_t Served() const
  {
    return reads_ + writes_ + watches_ + leases_ + hostLists_ + hostControls_;
  }
};

}
