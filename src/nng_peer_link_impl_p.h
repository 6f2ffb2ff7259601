#pragma once

#include "reply_cache_p.h"
#include "sardinespoke/nng_peer_link.h"

#include <map>
#include <memory>
#include <mutex>
#include <nng/nng.h>
#include <optional>
#include <thread>
#include <vector>

namespace sardinespoke {

/// The nng sockets and threads of a peer link.
class NngPeerLink::Impl
{
public:
  explicit Impl(PeerLinkSettings aSettings);

  leaf::result<void> Start();
  void Stop();
  leaf::result<nlohmann::json> Call(const std::string& aAddress,
                                    const nlohmann::json& aMessage,
                                    std::chrono::milliseconds aTimeout);
  void SetHandler(const std::string& aType, Handler aHandler);
  void SetAsyncHandler(const std::string& aType, AsyncHandler aHandler);
  std::string Address() const { return address_; }
  const PeerLinkCounters& Counters() const { return counters_; }

private:
  struct ReplyContext;
  struct PendingReply;
  struct PeerConnection;

  void Serve();
  ReplyContext* AcquireContext();
  std::optional<std::vector<uint8_t>> HandleRequest(ReplyContext& aReplyContext,
                                                    const std::vector<uint8_t>& aRequest);
  bool StartAsyncHandler(ReplyContext& aReplyContext,
                         const std::string& aNonce,
                         const nlohmann::json& aRequest);
  void SendPendingReply(PendingReply& aReply, const nlohmann::json& aBody);
  void ReleaseContext(ReplyContext& aReplyContext);
  std::vector<uint8_t> Dispatch(const nlohmann::json& aRequest);
  leaf::result<nlohmann::json> RunHandler(const nlohmann::json& aRequest);
  leaf::result<std::shared_ptr<PeerConnection>> ConnectionTo(const std::string& aAddress);
  /// Lets later calls use a new connection if nothing was heard over this one since a call was
  /// sent.
  void ReplaceIfSilent(const std::string& aAddress,
                       const std::shared_ptr<PeerConnection>& aConnection,
                       std::chrono::steady_clock::time_point aSent);
  leaf::result<std::vector<uint8_t>> SendAndReceive(PeerConnection& aConnection,
                                                    const std::vector<uint8_t>& aRequest,
                                                    std::chrono::milliseconds aTimeout);
  std::string NextNonce();

  const PeerLinkSettings settings_;
  const std::string noncePrefix_;
  std::string address_;
  PeerLinkCounters counters_;
  ReplyCache replies_;
  std::map<std::string, Handler> handlers_;
  std::map<std::string, AsyncHandler> asyncHandlers_;
  nng_socket server_ = NNG_SOCKET_INITIALIZER;
  nng_listener listener_ = NNG_LISTENER_INITIALIZER;
  std::vector<std::unique_ptr<ReplyContext>> replyContexts_;
  std::vector<ReplyContext*> idleContexts_; ///< Without a message in progress.
  std::vector<std::thread> threads_;
  std::mutex mutex_; ///< Guards peers_, stopped_ and the reply contexts.
  std::map<std::string, std::shared_ptr<PeerConnection>> peers_;
  bool stopped_ = false;
  std::atomic<uint64_t> nonce_{ 0 };
  std::shared_ptr<std::mutex> replyMutex_ =
    std::make_shared<std::mutex>(); ///< Held while a pending reply is sent.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true); ///< Guarded by replyMutex_.
};

}
