#include "sardinespoke/nng_peer_link.h"

#include "bounded_json_p.h"
#include "nng_peer_link_impl_p.h"

#include <nng/protocol/reqrep0/rep.h>
#include <nng/protocol/reqrep0/req.h>

#include <future>
#include <memory>
#include <random>

namespace sardinespoke {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

// A request resent to the next process at the address would get the reply of a process that does
// not know what the first has done.
constexpr nng_duration kNoResend = NNG_DURATION_INFINITE;
// Backoff of reconnects, short enough to reach a restarted peer within one Confirm interval. The
// default of nng is a constant 100 ms.
constexpr nng_duration kReconnectMinMilliseconds = 20;
constexpr nng_duration kReconnectMaxMilliseconds = 250;
constexpr std::chrono::seconds kCloseTimeout{ 1 };
constexpr size_t kMaxPeers = 64;           // Bounds the sockets left over from replaced peers.
constexpr size_t kMaxContextsInUse = 2048; // Bounds the messages with a pending reply.

auto
Fail(PeerError::Code aCode, const std::string& aMessage)
{
  return leaf::new_error(PeerError{ aCode, aMessage });
}

/// An nng_aio for blocking calls.
class BlockingAio
{
public:
  explicit BlockingAio(nng_duration aTimeout)
  {
    if (nng_aio_alloc(&aio_, nullptr, nullptr) == 0) {
      nng_aio_set_timeout(aio_, aTimeout);
    }
  }
  BlockingAio(const BlockingAio&) = delete;
  BlockingAio& operator=(const BlockingAio&) = delete;
  ~BlockingAio()
  {
    if (aio_) {
      nng_aio_free(aio_);
    }
  }

  nng_aio* Get() const { return aio_; }

  int Wait() const
  {
    nng_aio_wait(aio_);
    return nng_aio_result(aio_);
  }

private:
  nng_aio* aio_ = nullptr;
};

/// A context for one call, closed with it.
class CallContext
{
public:
  explicit CallContext(nng_socket aSocket)
    : isOpen_(nng_ctx_open(&context_, aSocket) == 0)
  {
  }
  CallContext(const CallContext&) = delete;
  CallContext& operator=(const CallContext&) = delete;
  ~CallContext()
  {
    if (isOpen_) {
      nng_ctx_close(context_);
    }
  }

  bool IsOpen() const { return isOpen_; }
  nng_ctx Get() const { return context_; }

private:
  nng_ctx context_ = NNG_CTX_INITIALIZER;
  bool isOpen_;
};

int
Send(nng_ctx aContext, const std::vector<uint8_t>& aBytes, nng_duration aTimeout)
{
  const BlockingAio aio(aTimeout);
  nng_msg* message = nullptr;
  if (!aio.Get() || nng_msg_alloc(&message, 0) != 0) {
    return NNG_ENOMEM;
  }
  if (nng_msg_append(message, aBytes.data(), aBytes.size()) != 0) {
    nng_msg_free(message);
    return NNG_ENOMEM;
  }
  nng_aio_set_msg(aio.Get(), message);
  nng_ctx_send(aContext, aio.Get());
  const int result = aio.Wait();
  if (result != 0) {
    nng_msg_free(message);
  }
  return result;
}

int
Receive(nng_ctx aContext, std::vector<uint8_t>& aBytes, nng_duration aTimeout)
{
  const BlockingAio aio(aTimeout);
  if (!aio.Get()) {
    return NNG_ENOMEM;
  }
  nng_ctx_recv(aContext, aio.Get());
  const int result = aio.Wait();
  if (result != 0) {
    return result;
  }
  nng_msg* message = nng_aio_get_msg(aio.Get());
  const auto* body = static_cast<const uint8_t*>(nng_msg_body(message));
  aBytes.assign(body, body + nng_msg_len(message));
  nng_msg_free(message);
  return 0;
}

/// Closes sockets within a time limit. nng_close() of nng 1.5.2 sometimes hangs while peers
/// reconnect (about 1 in 20 stops of a link among four interconnected ones), which must not block
/// the stop of the daemon. The socket then stays open until the process exits.
void
CloseSockets(std::vector<nng_socket> aSockets, std::chrono::seconds aLimit)
{
  if (aSockets.empty()) {
    return;
  }
  const auto closed = std::make_shared<std::promise<void>>();
  std::future<void> done = closed->get_future();
  std::thread([closed, sockets = std::move(aSockets)]() {
    for (const nng_socket socket : sockets) {
      nng_close(socket);
    }
    closed->set_value();
  }).detach();
  done.wait_for(aLimit);
}

std::string
RandomPrefix()
{
  std::random_device device;
  return std::to_string((uint64_t{ device() } << 32) | device()) + ".";
}

json
ErrorReply(PeerError::Code aCode, const std::string& aMessage)
{
  return { { "error", CodeName(aCode) }, { "message", aMessage } };
}

}

NngPeerLink::NngPeerLink(PeerLinkSettings aSettings)
  : impl_(std::make_unique<Impl>(std::move(aSettings)))
{
}

NngPeerLink::~NngPeerLink()
{
  impl_->Stop();
}

leaf::result<void>
NngPeerLink::Init()
{
  return impl_->Start();
}

void
NngPeerLink::Shutdown()
{
  impl_->Stop();
}

leaf::result<json>
NngPeerLink::Call(const std::string& aAddress, const json& aMessage, milliseconds aTimeout)
{
  return impl_->Call(aAddress, aMessage, aTimeout);
}

void
NngPeerLink::Handle(const std::string& aType, Handler aHandler)
{
  impl_->SetHandler(aType, std::move(aHandler));
}

void
NngPeerLink::HandleAsync(const std::string& aType, AsyncHandler aHandler)
{
  impl_->SetAsyncHandler(aType, std::move(aHandler));
}

std::string
NngPeerLink::Address() const
{
  return impl_->Address();
}

const PeerLinkCounters&
NngPeerLink::Counters() const
{
  return impl_->Counters();
}

/// A socket to one peer, closed after the last call over it.
struct NngPeerLink::Impl::PeerConnection
{
  explicit PeerConnection(nng_socket aSocket)
    : socket_(aSocket)
  {
  }
  PeerConnection(const PeerConnection&) = delete;
  PeerConnection& operator=(const PeerConnection&) = delete;
  ~PeerConnection()
  {
    if (!closed_) {
      CloseSockets({ socket_ }, std::chrono::seconds(0));
    }
  }

  const nng_socket socket_;
  std::atomic<bool> closed_{ false };
  std::atomic<bool> hasSent_{ false };
  std::atomic<std::chrono::steady_clock::time_point> heardAt_{}; ///< When the last reply arrived.
};

/// A server context with an nng_aio to send its reply asynchronously.
struct NngPeerLink::Impl::ReplyContext
{
  explicit ReplyContext(Impl& aLink)
    : link_(aLink)
  {
    nng_aio_alloc(&sendAio_, &ReplyContext::OnSent, this);
  }
  ReplyContext(const ReplyContext&) = delete;
  ReplyContext& operator=(const ReplyContext&) = delete;
  ~ReplyContext() { nng_aio_free(sendAio_); }

  static void OnSent(void* aSelf)
  {
    auto* self = static_cast<ReplyContext*>(aSelf);
    if (nng_aio_result(self->sendAio_) != 0) {
      nng_msg_free(nng_aio_get_msg(self->sendAio_));
    }
    self->link_.ReleaseContext(*self);
  }

  Impl& link_;
  nng_ctx context_ = NNG_CTX_INITIALIZER;
  nng_aio* sendAio_ = nullptr;
};

NngPeerLink::Impl::Impl(PeerLinkSettings aSettings)
  : settings_(std::move(aSettings))
  , noncePrefix_(RandomPrefix())
{
}

leaf::result<void>
NngPeerLink::Impl::Start()
{
  if (nng_rep0_open(&server_) != 0) {
    return Fail(PeerError::Code::Unreachable, "nng socket could not be opened");
  }
  nng_socket_set_size(server_, NNG_OPT_RECVMAXSZ, settings_.maxBytes_);
  const int result = nng_listen(server_, ("tcp://" + settings_.listen_).c_str(), &listener_, 0);
  if (result != 0) {
    return Fail(PeerError::Code::Unreachable, settings_.listen_ + ": " + nng_strerror(result));
  }
  int port = 0;
  nng_listener_get_int(listener_, NNG_OPT_TCP_BOUND_PORT, &port);
  address_ = settings_.listen_.substr(0, settings_.listen_.rfind(':') + 1) + std::to_string(port);
  for (size_t count = 0; count < settings_.handlerThreads_; ++count) {
    threads_.emplace_back([this]() { Serve(); });
  }
  return {};
}

void
NngPeerLink::Impl::Stop()
{
  std::map<std::string, std::shared_ptr<PeerConnection>> peers;
  std::vector<std::unique_ptr<ReplyContext>> replyContexts;
  {
    const std::lock_guard lock(mutex_);
    stopped_ = true;
    peers.swap(peers_);
    replyContexts.swap(replyContexts_);
    idleContexts_.clear();
  }
  {
    const std::lock_guard lock(*replyMutex_);
    *alive_ = false;
  }
  if (nng_listener_id(listener_) > 0) {
    nng_listener_close(listener_);
    listener_ = NNG_LISTENER_INITIALIZER;
  }
  for (const auto& replyContext : replyContexts) {
    nng_ctx_close(replyContext->context_);
  }
  for (std::thread& thread : threads_) {
    thread.join();
  }
  threads_.clear();
  std::vector<nng_socket> sockets;
  sockets.reserve(peers.size() + 1);
  for (const auto& [address, connection] : peers) {
    connection->closed_ = true;
    sockets.push_back(connection->socket_);
  }
  if (nng_socket_id(server_) > 0) {
    sockets.push_back(server_);
    server_ = NNG_SOCKET_INITIALIZER;
  }
  CloseSockets(std::move(sockets), kCloseTimeout);
}

void
NngPeerLink::Impl::SetHandler(const std::string& aType, Handler aHandler)
{
  handlers_[aType] = std::move(aHandler);
}

void
NngPeerLink::Impl::SetAsyncHandler(const std::string& aType, AsyncHandler aHandler)
{
  asyncHandlers_[aType] = std::move(aHandler);
}

NngPeerLink::Impl::ReplyContext*
NngPeerLink::Impl::AcquireContext()
{
  const std::lock_guard lock(mutex_);
  if (stopped_) {
    return nullptr;
  }
  if (!idleContexts_.empty()) {
    ReplyContext* replyContext = idleContexts_.back();
    idleContexts_.pop_back();
    return replyContext;
  }
  auto replyContext = std::make_unique<ReplyContext>(*this);
  if (!replyContext->sendAio_ || nng_ctx_open(&replyContext->context_, server_) != 0) {
    return nullptr;
  }
  replyContexts_.push_back(std::move(replyContext));
  return replyContexts_.back().get();
}

void
NngPeerLink::Impl::ReleaseContext(ReplyContext& aReplyContext)
{
  const std::lock_guard lock(mutex_);
  if (!stopped_) {
    idleContexts_.push_back(&aReplyContext);
  }
}

void
NngPeerLink::Impl::Serve()
{
  std::vector<uint8_t> request;
  ReplyContext* replyContext = AcquireContext();
  while (replyContext) {
    const int received = Receive(replyContext->context_, request, NNG_DURATION_INFINITE);
    if (received == NNG_ECLOSED || received == NNG_ECANCELED) {
      return;
    }
    if (received != 0) {
      continue;
    }
    const auto reply = HandleRequest(*replyContext, request);
    if (!reply) {
      replyContext = AcquireContext(); // The pending reply keeps the previous context.
      continue;
    }
    counters_.bytesSent_ += reply->size();
    if (Send(replyContext->context_, *reply, NNG_DURATION_INFINITE) == NNG_ECLOSED) {
      return;
    }
  }
}

/// A message whose reply has not been sent yet.
struct NngPeerLink::Impl::PendingReply
{
  Impl* link_ = nullptr;
  ReplyContext* replyContext_ = nullptr;
  std::string nonce_;
  bool sent_ = false;
};

bool
NngPeerLink::Impl::StartAsyncHandler(ReplyContext& aReplyContext,
                                     const std::string& aNonce,
                                     const json& aRequest)
{
  const auto handler = asyncHandlers_.find(aRequest.value("type", ""));
  if (handler == asyncHandlers_.end()) {
    return false;
  }
  {
    const std::lock_guard lock(mutex_);
    if (replyContexts_.size() - idleContexts_.size() > kMaxContextsInUse) {
      return false; // The message is then refused like one of an unknown type.
    }
  }
  const auto pending = std::make_shared<PendingReply>(PendingReply{ this, &aReplyContext, aNonce });
  const auto reply = [pending, replying = replyMutex_, alive = alive_](const json& aBody) {
    const std::lock_guard lock(*replying);
    if (*alive && !pending->sent_) {
      pending->sent_ = true;
      pending->link_->SendPendingReply(*pending, aBody);
    }
  };
  try {
    handler->second(aRequest, reply);
  } catch (const json::exception&) {
    const std::lock_guard lock(*replyMutex_);
    pending->sent_ = true; // The caller replies with an error in this context.
    throw;
  }
  return true;
}

void
NngPeerLink::Impl::SendPendingReply(PendingReply& aReply, const json& aBody)
{
  ++counters_.served_;
  const std::vector<uint8_t> bytes = json::to_cbor(json{ { "body", aBody } });
  replies_.Finish(aReply.nonce_, bytes);
  counters_.bytesSent_ += bytes.size();
  nng_msg* message = nullptr;
  if (nng_msg_alloc(&message, 0) != 0 || nng_msg_append(message, bytes.data(), bytes.size()) != 0) {
    nng_msg_free(message);
    ReleaseContext(*aReply.replyContext_); // No reply: the call at the peer times out.
    return;
  }
  nng_aio_set_timeout(aReply.replyContext_->sendAio_,
                      static_cast<nng_duration>(kMaxTimeout.count()));
  nng_aio_set_msg(aReply.replyContext_->sendAio_, message);
  nng_ctx_send(aReply.replyContext_->context_, aReply.replyContext_->sendAio_);
}

std::optional<std::vector<uint8_t>>
NngPeerLink::Impl::HandleRequest(ReplyContext& aReplyContext, const std::vector<uint8_t>& aRequest)
{
  const std::optional<json> envelope = DecodeCbor(aRequest.data(), aRequest.size());
  const bool valid = envelope && envelope->is_object() && envelope->contains("nonce") &&
                     envelope->at("nonce").is_string() && envelope->contains("body") &&
                     envelope->at("body").is_object();
  if (!valid) {
    ++counters_.malformed_;
    return json::to_cbor(ErrorReply(PeerError::Code::Malformed, "not a message"));
  }
  const std::string nonce = envelope->at("nonce").get<std::string>();
  std::optional<std::vector<uint8_t>> cached;
  const ReplyCache::RequestState state = replies_.Begin(nonce, cached);
  if (state != ReplyCache::RequestState::New) {
    ++counters_.duplicates_;
    return cached
             ? *cached
             : json::to_cbor(ErrorReply(PeerError::Code::Refused, "the message arrived before"));
  }
  std::vector<uint8_t> reply;
  try {
    if (StartAsyncHandler(aReplyContext, nonce, envelope->at("body"))) {
      return std::nullopt;
    }
    reply = Dispatch(envelope->at("body"));
  } catch (const json::exception& failure) {
    ++counters_.malformed_;
    reply = json::to_cbor(ErrorReply(PeerError::Code::Malformed, failure.what()));
  }
  replies_.Finish(nonce, reply);
  return reply;
}

std::vector<uint8_t>
NngPeerLink::Impl::Dispatch(const json& aRequest)
{
  const json reply = leaf::try_handle_all(
    [&]() -> leaf::result<json> {
      BOOST_LEAF_AUTO(body, RunHandler(aRequest));
      ++counters_.served_;
      return json{ { "body", std::move(body) } };
    },
    [&](const PeerError& aError) {
      ++counters_.refused_;
      return ErrorReply(aError.code_, aError.message_);
    },
    [&](leaf::catch_<json::exception> aError) {
      ++counters_.malformed_;
      return ErrorReply(PeerError::Code::Malformed, aError.matched.what());
    },
    [&]() {
      ++counters_.refused_;
      return ErrorReply(PeerError::Code::Refused, "the handler failed");
    });
  return json::to_cbor(reply);
}

leaf::result<json>
NngPeerLink::Impl::RunHandler(const json& aRequest)
{
  auto handler = handlers_.find(aRequest.at("type").get<std::string>());
  if (handler == handlers_.end()) {
    ++counters_.unknown_;
    return Fail(PeerError::Code::Refused, "unknown message type");
  }
  return handler->second(aRequest);
}

leaf::result<json>
NngPeerLink::Impl::Call(const std::string& aAddress, const json& aMessage, milliseconds aTimeout)
{
  BOOST_LEAF_AUTO(connection, ConnectionTo(aAddress));
  const std::vector<uint8_t> request =
    json::to_cbor(json{ { "nonce", NextNonce() }, { "body", aMessage } });
  const auto sent = std::chrono::steady_clock::now();
  leaf::result<std::vector<uint8_t>> bytes =
    SendAndReceive(*connection, request, std::min(aTimeout, kMaxTimeout));
  if (!bytes) {
    ++counters_.callsFailed_;
    ReplaceIfSilent(aAddress, connection, sent);
    return bytes.error();
  }
  std::optional<json> reply = DecodeCbor(bytes->data(), bytes->size());
  if (!reply || !reply->is_object()) {
    return Fail(PeerError::Code::Malformed, aAddress + ": the reply is not a message");
  }
  if (auto body = reply->find("body"); body != reply->end()) {
    return std::move(*body);
  }
  return Fail(PeerError::Code::Refused, aAddress + ": " + reply->value("message", "refused"));
}

leaf::result<std::vector<uint8_t>>
NngPeerLink::Impl::SendAndReceive(PeerConnection& aConnection,
                                  const std::vector<uint8_t>& aRequest,
                                  milliseconds aTimeout)
{
  const CallContext context(aConnection.socket_);
  if (!context.IsOpen()) {
    return Fail(PeerError::Code::Unreachable, "nng context could not be opened");
  }
  const auto start = std::chrono::steady_clock::now();
  int result = Send(context.Get(), aRequest, static_cast<nng_duration>(aTimeout.count()));
  if (result != 0) {
    return Fail(PeerError::Code::Unreachable, nng_strerror(result));
  }
  aConnection.hasSent_ = true;
  counters_.bytesSent_ += aRequest.size();
  const auto spent = std::chrono::ceil<milliseconds>(std::chrono::steady_clock::now() - start);
  const milliseconds left = std::max(aTimeout - spent, milliseconds(1));
  std::vector<uint8_t> reply;
  result = Receive(context.Get(), reply, static_cast<nng_duration>(left.count()));
  if (result != 0) {
    return Fail(PeerError::Code::Timeout, nng_strerror(result));
  }
  aConnection.heardAt_ = std::chrono::steady_clock::now();
  return reply;
}

leaf::result<std::shared_ptr<NngPeerLink::Impl::PeerConnection>>
NngPeerLink::Impl::ConnectionTo(const std::string& aAddress)
{
  const std::lock_guard lock(mutex_);
  if (stopped_) {
    return Fail(PeerError::Code::Unreachable, "the link is stopped");
  }
  auto found = peers_.find(aAddress);
  if (found != peers_.end()) {
    return found->second;
  }
  if (peers_.size() >= kMaxPeers) {
    peers_.erase(peers_.begin());
  }
  nng_socket socket = NNG_SOCKET_INITIALIZER;
  if (nng_req0_open(&socket) != 0) {
    return Fail(PeerError::Code::Unreachable, "nng socket could not be opened");
  }
  nng_socket_set_ms(socket, NNG_OPT_REQ_RESENDTIME, kNoResend);
  nng_socket_set_ms(socket, NNG_OPT_RECONNMINT, kReconnectMinMilliseconds);
  nng_socket_set_ms(socket, NNG_OPT_RECONNMAXT, kReconnectMaxMilliseconds);
  nng_socket_set_size(socket, NNG_OPT_RECVMAXSZ, settings_.maxBytes_);
  const int result = nng_dial(socket, ("tcp://" + aAddress).c_str(), nullptr, NNG_FLAG_NONBLOCK);
  if (result != 0) {
    nng_close(socket);
    return Fail(PeerError::Code::Unreachable, aAddress + ": " + nng_strerror(result));
  }
  auto connection = std::make_shared<PeerConnection>(socket);
  peers_[aAddress] = connection;
  return connection;
}

void
NngPeerLink::Impl::ReplaceIfSilent(const std::string& aAddress,
                                   const std::shared_ptr<PeerConnection>& aConnection,
                                   std::chrono::steady_clock::time_point aSent)
{
  // A socket that has sent nothing is still connecting, which nng retries by itself.
  if (!aConnection->hasSent_ || aConnection->heardAt_.load() >= aSent) {
    return;
  }
  const std::lock_guard lock(mutex_);
  const auto current = peers_.find(aAddress);
  if (current != peers_.end() && current->second == aConnection) {
    peers_.erase(current);
    ++counters_.connectionsReplaced_;
  }
}

std::string
NngPeerLink::Impl::NextNonce()
{
  return noncePrefix_ + std::to_string(++nonce_);
}

}
