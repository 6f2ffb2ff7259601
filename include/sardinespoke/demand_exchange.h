#pragma once

#include "sardinespoke/clock.h"
#include "sardinespoke/demand_table.h"
#include "sardinespoke/peer_link.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace sardinespoke {

/// Another entry host to exchange demand with.
struct DemandPeer
{
  std::string id_;
  std::string address_;
};

/// Settings of the demand exchange.
struct DemandExchangeSettings
{
  std::string id_;
  std::string process_; ///< Unique per start of the daemon.
  /// Bytes a second for all control traffic that this daemon sends (docs/design.md, 1.2).
  uint32_t bytesPerSecond_ = 15000;
  std::chrono::milliseconds interval_{ 200 };
  std::chrono::milliseconds silenceLimit_{
    1000
  }; ///< Peers not heard from for longer are left out.
  std::chrono::milliseconds peerTimeout_{ 150 };
  std::chrono::milliseconds retryAfter_{ 1000 }; ///< Pause after a failed call to a peer.
};

/// What the exchange needs to know about its surroundings.
struct DemandExchangeCallbacks
{
  std::function<std::vector<DemandPeer>()> peers_; ///< Live entry hosts without this one.
  std::function<bool(const std::string&)> known_;  ///< Whether messages of an id are accepted.
  std::function<uint64_t()> bytesSent_;            ///< All control traffic sent so far.
};

/// Sends this daemon's demand to the others: in each message the entries that differ most from what
/// the peer knows, as many as the byte budget allows, then a part of the rest as a refresh.
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

  /// Sends one message to each peer if it is due; for tests that do not call Init().
  void Step();

  void Publish(DemandReport aReport) override;
  std::shared_ptr<const DemandTable> Table() const override;

private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}
