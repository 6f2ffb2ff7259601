#pragma once

#include <chrono>
#include <string>
#include <vector>

namespace sardinespoke {

/// Settings of the config sync (docs/design.md, 5.2).
struct ConfigSyncSettings
{
  std::string id_;      ///< Entry host id.
  std::string process_; ///< Unique per start of the daemon; without '-' and '.'.
  std::string caller_;  ///< Address "ip:port" for callers.
  std::string admin_;   ///< Address "ip:port" for operators.
  std::string peer_;    ///< Address "ip:port" for other entry hosts.
  std::string zone_;
  std::string keyPrefix_ = "sardinespoke/";
  std::vector<std::string> seedPeers_; ///< Peer addresses to query while no entry record is known.

  std::chrono::milliseconds viewLimit_{ 2500 };
  std::chrono::milliseconds leaseTtl_{ 4000 };
  std::chrono::milliseconds renewInterval_{ 1000 };
  std::chrono::milliseconds pollInterval_{ 500 }; ///< For host list polls, Confirm, store retries.
  std::chrono::milliseconds watchWait_{ 500 };    ///< Maximum wait of one watch call.
  std::chrono::milliseconds peerTimeout_{ 250 };
  /// A confirmation younger than this needs no second source. An observer's own confirmation can be
  /// as old as two watch calls when it replies.
  std::chrono::milliseconds freshLimit_{ 1500 };
  /// Time without contact after which an entry host counts as stopped: a sponsored one after its
  /// last message, one that is on the member list without an entry record after a new process
  /// registers its id. Lease 4 s + view limit 2.5 s + margin 1.5 s.
  std::chrono::milliseconds stoppedLimit_{ 8000 };
  /// Delay after which an observer writes a newer fleet document back if the planner has not.
  std::chrono::milliseconds writeBackDelay_{ 1000 };
};

}
