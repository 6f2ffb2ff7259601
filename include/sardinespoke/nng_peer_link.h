#pragma once

#include "sardinespoke/peer_link.h"

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>

namespace sardinespoke {

/// Counters of a peer link since its start.
struct PeerLinkCounters
{
  std::atomic<uint64_t> served_{ 0 };      ///< Messages answered by a handler.
  std::atomic<uint64_t> malformed_{ 0 };   ///< Messages that could not be decoded.
  std::atomic<uint64_t> unknown_{ 0 };     ///< Messages of a type without a handler.
  std::atomic<uint64_t> refused_{ 0 };     ///< Messages that a handler refused.
  std::atomic<uint64_t> duplicates_{ 0 };  ///< Messages that arrived a second time.
  std::atomic<uint64_t> bytesSent_{ 0 };   ///< Of requests and replies.
  std::atomic<uint64_t> callsFailed_{ 0 }; ///< Calls without a reply.
};

/// Settings of a peer link.
struct PeerLinkSettings
{
  std::string listen_;        ///< "ip:port" to listen on; port 0 picks a free one.
  size_t handlerThreads_ = 8; ///< Threads, each of which handles one message at a time.
  size_t maxBytes_ = 4 << 20; ///< Largest message; two documents of up to 1 MB and a roster fit.
};

/// Peer link over nng request/reply with one socket for each peer.
///
/// nng sends a request again when the connection is lost before the reply. Each request carries a
/// nonce; a request that arrives again gets the first reply again, without running the handler.
class NngPeerLink final : public PeerLinkI
{
public:
  /// Longest timeout of a call; below the time after which nng sends a request again.
  static constexpr std::chrono::milliseconds kMaxTimeout{ 10000 };

  explicit NngPeerLink(PeerLinkSettings aSettings);
  ~NngPeerLink() override;

  /// Starts to listen. Errors: PeerError.
  leaf::result<void> Init();

  /// Ends all calls and handlers.
  void Shutdown();

  leaf::result<nlohmann::json> Call(const std::string& aAddress,
                                    const nlohmann::json& aMessage,
                                    std::chrono::milliseconds aTimeout) override;
  void Handle(const std::string& aType, Handler aHandler) override;

  /// Gives the reply to one message. May be called on any thread, once; later calls and calls after
  /// the end of the link do nothing.
  using Reply = std::function<void(const nlohmann::json&)>;
  using AsyncHandler = std::function<void(const nlohmann::json&, Reply)>;

  /// Sets a handler that replies later, so that messages that wait occupy no thread. Call it before
  /// the link is started.
  void HandleAsync(const std::string& aType, AsyncHandler aHandler);

  /// @returns "ip:port" it listens on, with the port that was picked.
  std::string Address() const;
  const PeerLinkCounters& Counters() const;

private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}
