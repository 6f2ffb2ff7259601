#pragma once

#include "sardinespoke/clock.h"
#include "sardinespoke/demand_table.h"
#include "sardinespoke/peer_link.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace sardinespoke {

/// Another entry host with which demand is exchanged.
struct DemandPeer
{
  std::string id_;
  std::string address_;
};

/// Settings of the demand exchange.
struct DemandExchangeSettings
{
  std::string id_;
  std::string process_; ///< Incarnation: unique to each start of the daemon.
  /// Byte rate limit of all control traffic that this daemon sends (docs/design.md, 1.2).
  uint32_t bytesPerSecond_ = 15000;
  std::chrono::milliseconds interval_{ 200 };
  /// Age of a peer's last message after which it is left out of the demand table.
  std::chrono::milliseconds silenceLimit_{ 1000 };
  std::chrono::milliseconds peerTimeout_{ 150 };
  std::chrono::milliseconds retryAfter_{ 1000 }; ///< Delay after a failed call to a peer.
};

/// Functions of the daemon that the exchange calls.
struct DemandExchangeCallbacks
{
  std::function<std::vector<DemandPeer>()> peers_; ///< Live entry hosts other than this one.
  std::function<bool(const std::string&)> known_;  ///< Whether the sender id is a known member.
  std::function<uint64_t()> bytesSent_;            ///< Total control traffic sent, in bytes.
};

/// Sends this daemon's demand to its peers. Each message holds the entries that differ most from
/// the last values delivered to the peer, up to the byte budget; the rest of the budget resends
/// unchanged entries in turn.
class DemandExchange final : public DemandExchangeI
{
public:
  /// Registers the handler of "Demand"; all references must outlive the object.
  DemandExchange(const DemandExchangeSettings& aSettings,
                 PeerLinkI& aPeers,
                 const ClockI& aClock,
                 DemandExchangeCallbacks aSurroundings);
  ~DemandExchange() override;

  void Init();
  void Shutdown();

  /// Sends one message to each peer if the interval has passed. Called by the thread, and by tests
  /// that don't call Init().
  void Step();

  void Publish(DemandReport aReport) override;
  std::shared_ptr<const DemandTable> Table() const override;

private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}
