#pragma once

#include "sardinespoke/peer_link.h"

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>

namespace sardinespoke {

/// Totals of a peer link since its start.
struct PeerLinkCounters
{
  std::atomic<uint64_t> served_{ 0 };              ///< Messages answered by a handler.
  std::atomic<uint64_t> malformed_{ 0 };           ///< Messages that could not be decoded.
  std::atomic<uint64_t> unknown_{ 0 };             ///< Messages of a type without a handler.
  std::atomic<uint64_t> refused_{ 0 };             ///< Messages that a handler refused.
  std::atomic<uint64_t> duplicates_{ 0 };          ///< Messages received more than once.
  std::atomic<uint64_t> bytesSent_{ 0 };           ///< Of requests and replies.
  std::atomic<uint64_t> callsFailed_{ 0 };         ///< Calls without a reply.
  std::atomic<uint64_t> connectionsReplaced_{ 0 }; ///< Because nothing was heard over them.
};

/// Settings of a peer link.
struct PeerLinkSettings
{
  std::string listen_;        ///< "ip:port" to listen on; port 0 selects a free one.
  size_t handlerThreads_ = 8; ///< Each handles one message at a time.
  size_t maxBytes_ = 4 << 20; ///< Largest message; fits two documents of up to 1 MB and a roster.
};

/// Peer link over the nng request/reply protocol, with one socket per peer.
///
/// A request is sent over one connection only; if that is lost before the reply, the call fails
/// with PeerError::Code::Timeout. Each request carries a nonce; a duplicate gets the cached first
/// reply, without running the handler again.
///
/// A connection may go silent without an error. If a call times out and nothing was heard over its
/// connection meanwhile, later calls use a new one.
class NngPeerLink final : public PeerLinkI
{
public:
  /// Longest timeout of a call.
  static constexpr std::chrono::milliseconds kMaxTimeout{ 10000 };

  explicit NngPeerLink(PeerLinkSettings aSettings);
  ~NngPeerLink() override;

  /// Starts listening. Errors: PeerError.
  leaf::result<void> Init();

  /// Ends all calls and waits for running handlers.
  void Shutdown();

  leaf::result<nlohmann::json> Call(const std::string& aAddress,
                                    const nlohmann::json& aMessage,
                                    std::chrono::milliseconds aTimeout) override;
  void Handle(const std::string& aType, Handler aHandler) override;

  /// Sends the reply to one message, from any thread. Only the first call has an effect; calls
  /// after Shutdown() are ignored.
  using Reply = std::function<void(const nlohmann::json&)>;
  using AsyncHandler = std::function<void(const nlohmann::json&, Reply)>;

  /// Sets an asynchronous handler, whose pending messages occupy no thread. Call before Init().
  void HandleAsync(const std::string& aType, AsyncHandler aHandler);

  /// @returns The "ip:port" of the listener, with the actual port.
  std::string Address() const;
  const PeerLinkCounters& Counters() const;

private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}
