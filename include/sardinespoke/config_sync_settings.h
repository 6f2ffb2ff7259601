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
  std::string caller_;  ///< "ip:port" for callers.
  std::string admin_;   ///< "ip:port" for operators.
  std::string peer_;    ///< "ip:port" for other entry hosts.
  std::string zone_;
  std::string keyPrefix_ = "sardinespoke/";
  std::vector<std::string> seedPeers_; ///< Peer addresses to ask while no entry record is known.

  std::chrono::milliseconds viewLimit_{ 2500 };
  std::chrono::milliseconds leaseTtl_{ 4000 };
  std::chrono::milliseconds renewInterval_{ 1000 };
  std::chrono::milliseconds pollInterval_{ 500 }; ///< Host list polls, Confirm, store retries.
  std::chrono::milliseconds watchWait_{ 500 };    ///< Longest wait of one watch call.
  std::chrono::milliseconds peerTimeout_{ 250 };
  /// A confirmation younger than this needs no second source. An observer's own confirmation is up
  /// to two watch calls old when it answers.
  std::chrono::milliseconds freshLimit_{ 1500 };
  /// Silence after which a guest, or an entry host of which only the member list is left, counts as
  /// stopped: lease 4 s + view limit 2.5 s + margin 1.5 s.
  std::chrono::milliseconds stoppedLimit_{ 8000 };
  /// An observer writes a greater fleet document back if the planner has not done it by then.
  std::chrono::milliseconds writeBackDelay_{ 1000 };
};

}
