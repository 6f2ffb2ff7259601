#include "sardinespoke/admin_server.h"

#include "sardinespoke/logging.h"
#include "sardinespoke/steady_clock.h"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <condition_variable>
#include <mutex>
#include <optional>
#include <set>
#include <string_view>
#include <utility>

namespace sardinespoke {

namespace {

constexpr size_t kThreadStackBytes = 256U << 10U;
constexpr unsigned int kListenBacklog = 1024;
// Connections above the limit that are accepted so that one that has stalled can be closed instead.
constexpr unsigned int kConnectionMargin = 64;
// Copies of a body that exist while it is forwarded: the request, its message and the encoded one.
constexpr uint64_t kCopiesInWork = 4;
// Memory that a header field or a parameter takes in a map beside its text.
constexpr uint64_t kFieldBytes = 128;
// A chunked body above the limit is discarded up to this multiple of it, so that the client can
// read the refusal.
constexpr uint64_t kMaxDiscardedBodies = 2;
constexpr std::chrono::milliseconds kBusyRetryAfter{ 1000 };
// Time for connections to end before libmicrohttpd is stopped; requests in work may take longer.
constexpr std::chrono::seconds kCloseTimeout{ 5 };
// Of a server without a shared budget. The largest body is a profile document, which the store
// limits to 1 MB without indentation.
constexpr uint64_t kMaxOwnBodyBytes = 2U << 20U;

constexpr unsigned int kNotFound = 404;
constexpr unsigned int kTooLarge = 413;
constexpr unsigned int kTooManyFields = 431;
constexpr unsigned int kInternal = 500;
constexpr unsigned int kUnavailable = 503;

struct BoundRoute
{
  std::string method_;
  std::vector<std::string> segments_; ///< Of the pattern.
  AdminServer::Handler handler_;
};

/// One request, from its request line to the end of its response.
struct Exchange
{
  IntakeBudget::ConnectionId connection_ = 0;
  AdminRequest request_;
  AdminResponse response_; ///< Owns the bytes that libmicrohttpd sends.
  uint32_t headerFields_ = 0;
  uint64_t headBytes_ = 0; ///< Of the copies of header fields and parameters.
  bool headersRead_ = false;
  bool bodyTooLarge_ = false;
  uint64_t discardedBytes_ = 0;
};

std::vector<std::string>
SplitPath(std::string_view aPath)
{
  std::vector<std::string> segments;
  while (!aPath.empty()) {
    const size_t end = std::min(aPath.find('/'), aPath.size());
    if (end > 0) {
      segments.emplace_back(aPath.substr(0, end));
    }
    aPath.remove_prefix(std::min(end + 1, aPath.size()));
  }
  return segments;
}

/// @returns True if the path has the form of the pattern; its parameters are added then, in place
/// of those of the query with the same name.
bool
Match(const std::vector<std::string>& aPattern,
      const std::vector<std::string>& aPath,
      std::map<std::string, std::string>& aParameters)
{
  if (aPattern.size() != aPath.size()) {
    return false;
  }
  std::map<std::string, std::string> parameters;
  for (size_t index = 0; index < aPattern.size(); ++index) {
    if (aPattern[index].front() == '@') {
      parameters[aPattern[index].substr(1)] = aPath[index];
    } else if (aPattern[index] != aPath[index]) {
      return false;
    }
  }
  for (auto& [name, value] : parameters) {
    aParameters[name] = std::move(value);
  }
  return true;
}

MHD_Result
OnHeader(void* aExchange,
         MHD_ValueKind,
         const char* aName,
         size_t aNameSize,
         const char* aValue,
         size_t aValueSize)
{
  auto* exchange = static_cast<Exchange*>(aExchange);
  std::string name(aName, aNameSize);
  std::transform(name.begin(), name.end(), name.begin(), [](unsigned char aCharacter) {
    return static_cast<char>(std::tolower(aCharacter));
  });
  ++exchange->headerFields_;
  exchange->headBytes_ += kFieldBytes + aNameSize + aValueSize;
  exchange->request_.headers_[name] = aValue ? std::string(aValue, aValueSize) : std::string();
  return MHD_YES;
}

MHD_Result
OnParameter(void* aExchange,
            MHD_ValueKind,
            const char* aName,
            size_t aNameSize,
            const char* aValue,
            size_t aValueSize)
{
  auto* exchange = static_cast<Exchange*>(aExchange);
  exchange->headBytes_ += kFieldBytes + aNameSize + aValueSize;
  exchange->request_.parameters_[std::string(aName, aNameSize)] =
    aValue ? std::string(aValue, aValueSize) : std::string();
  return MHD_YES;
}

std::string
ClientAddress(MHD_Connection* aConnection)
{
  const auto* info = MHD_get_connection_info(aConnection, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
  std::array<char, INET_ADDRSTRLEN> text{};
  if (info && info->client_addr->sa_family == AF_INET) {
    const auto* address = reinterpret_cast<const sockaddr_in*>(info->client_addr);
    inet_ntop(AF_INET, &address->sin_addr, text.data(), text.size());
  }
  return text.data();
}

AdminResponse
Refusal(unsigned int aStatus, const std::string& aField, const std::string& aMessage)
{
  AdminResponse response = AdminResponse::Error(aStatus, "not-run", aField, aMessage);
  response.closeConnection_ = true;
  return response;
}

AdminResponse
Busy()
{
  AdminResponse response = Refusal(kUnavailable, "", "too many requests at a time");
  response.retryAfter_ = kBusyRetryAfter;
  return response;
}

}

struct AdminServer::State
{
  static void* OnRequestLine(void* aSelf, const char* aTarget, MHD_Connection* aConnection);
  static MHD_Result OnAccess(void* aSelf,
                             MHD_Connection* aConnection,
                             const char* aPath,
                             const char* aMethod,
                             const char* aVersion,
                             const char* aData,
                             size_t* aDataSize,
                             void** aExchange);
  static void OnCompleted(void* aSelf,
                          MHD_Connection* aConnection,
                          void** aExchange,
                          MHD_RequestTerminationCode aCode);
  static void OnConnection(void* aSelf,
                           MHD_Connection* aConnection,
                           void** aContext,
                           MHD_ConnectionNotificationCode aCode);

  MHD_Result Handle(MHD_Connection* aConnection,
                    Exchange& aExchange,
                    const char* aData,
                    size_t* aDataSize);
  /// @returns Why a request is refused before its body is read; empty if it may go on.
  std::optional<AdminResponse> CheckHead(const Exchange& aExchange) const;
  MHD_Result TakeBody(Exchange& aExchange, const char* aData, size_t* aDataSize);
  AdminResponse Dispatch(AdminRequest& aRequest) const;
  void AddSocket(int aSocket);
  void RemoveSocket(int aSocket);
  /// Ends all connections and waits for those without a request in work.
  void CloseConnections();
  MHD_Result Send(MHD_Connection* aConnection, Exchange& aExchange, AdminResponse aResponse);

  std::vector<BoundRoute> routes_;
  AdminServer::Handler fallback_;
  const SteadyClock clock_{};
  std::unique_ptr<IntakeBudget> ownBudget_;
  IntakeBudget* budget_ = nullptr;
  MHD_Daemon* daemon_ = nullptr;
  std::mutex mutex_;
  std::condition_variable socketRemoved_;
  std::set<int> sockets_; ///< Of the open connections.
  bool stopping_ = false;
};

std::string
AdminRequest::Parameter(const std::string& aName) const
{
  const auto found = parameters_.find(aName);
  return found == parameters_.end() ? std::string() : found->second;
}

std::string
AdminRequest::Header(const std::string& aName) const
{
  const auto found = headers_.find(aName);
  return found == headers_.end() ? std::string() : found->second;
}

AdminResponse
AdminResponse::Json(unsigned int aStatus, const nlohmann::json& aBody)
{
  AdminResponse response;
  response.status_ = aStatus;
  response.body_ = aBody.dump();
  return response;
}

AdminResponse
AdminResponse::Error(unsigned int aStatus,
                     const std::string& aError,
                     const std::string& aField,
                     const std::string& aMessage)
{
  return Json(aStatus, { { "error", aError }, { "field", aField }, { "message", aMessage } });
}

void*
AdminServer::State::OnRequestLine(void*, const char*, MHD_Connection* aConnection)
{
  auto exchange = std::make_unique<Exchange>();
  const auto* info = MHD_get_connection_info(aConnection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
  exchange->connection_ = *static_cast<IntakeBudget::ConnectionId*>(info->socket_context);
  return exchange.release();
}

void
AdminServer::State::OnCompleted(void* aSelf,
                                MHD_Connection*,
                                void** aExchange,
                                MHD_RequestTerminationCode)
{
  const std::unique_ptr<Exchange> exchange(static_cast<Exchange*>(*aExchange));
  *aExchange = nullptr;
  if (exchange) {
    static_cast<State*>(aSelf)->budget_->EndRequest(exchange->connection_);
  }
}

void
AdminServer::State::OnConnection(void* aSelf,
                                 MHD_Connection* aConnection,
                                 void** aContext,
                                 MHD_ConnectionNotificationCode aCode)
{
  auto* self = static_cast<State*>(aSelf);
  IntakeBudget& budget = *self->budget_;
  const auto* info = MHD_get_connection_info(aConnection, MHD_CONNECTION_INFO_CONNECTION_FD);
  if (aCode == MHD_CONNECTION_NOTIFY_STARTED) {
    // libmicrohttpd closes the descriptor after the notification of the end.
    const IntakeBudget::ConnectionId id = budget.Open(
      ClientAddress(aConnection), [socket = info->connect_fd] { shutdown(socket, SHUT_RDWR); });
    *aContext = std::make_unique<IntakeBudget::ConnectionId>(id).release();
    self->AddSocket(info->connect_fd);
    return;
  }
  const std::unique_ptr<IntakeBudget::ConnectionId> id(
    static_cast<IntakeBudget::ConnectionId*>(*aContext));
  *aContext = nullptr;
  if (id) {
    budget.Close(*id);
  }
  self->RemoveSocket(info->connect_fd);
}

void
AdminServer::State::AddSocket(int aSocket)
{
  const std::lock_guard lock(mutex_);
  sockets_.insert(aSocket);
  if (stopping_) {
    shutdown(aSocket, SHUT_RDWR);
  }
}

void
AdminServer::State::RemoveSocket(int aSocket)
{
  const std::lock_guard lock(mutex_);
  sockets_.erase(aSocket);
  socketRemoved_.notify_all();
}

void
AdminServer::State::CloseConnections()
{
  std::unique_lock lock(mutex_);
  stopping_ = true;
  for (const int socket : sockets_) {
    shutdown(socket, SHUT_RDWR);
  }
  socketRemoved_.wait_for(lock, kCloseTimeout, [this] { return sockets_.empty(); });
}

MHD_Result
AdminServer::State::OnAccess(void* aSelf,
                             MHD_Connection* aConnection,
                             const char* aPath,
                             const char* aMethod,
                             const char*,
                             const char* aData,
                             size_t* aDataSize,
                             void** aExchange)
{
  auto* exchange = static_cast<Exchange*>(*aExchange);
  try {
    if (!exchange->headersRead_) {
      exchange->request_.method_ = aMethod;
      exchange->request_.path_ = aPath;
    }
    return static_cast<State*>(aSelf)->Handle(aConnection, *exchange, aData, aDataSize);
  } catch (const std::exception& failure) {
    // Exceptions must not propagate into the C library.
    Log(LogLevel::Error, "admin.internal_error", { { "error", failure.what() } });
  } catch (...) {
    Log(LogLevel::Error, "admin.internal_error", { { "error", "unknown" } });
  }
  return MHD_NO;
}

MHD_Result
AdminServer::State::Handle(MHD_Connection* aConnection,
                           Exchange& aExchange,
                           const char* aData,
                           size_t* aDataSize)
{
  if (!aExchange.headersRead_) {
    aExchange.headersRead_ = true;
    MHD_get_connection_values_n(aConnection, MHD_HEADER_KIND, &OnHeader, &aExchange);
    MHD_get_connection_values_n(aConnection, MHD_GET_ARGUMENT_KIND, &OnParameter, &aExchange);
    if (auto refusal = CheckHead(aExchange)) {
      return Send(aConnection, aExchange, std::move(*refusal));
    }
    return budget_->Receive(aExchange.connection_, aExchange.headBytes_)
             ? MHD_YES
             : Send(aConnection, aExchange, Busy());
  }
  if (*aDataSize > 0) {
    return TakeBody(aExchange, aData, aDataSize);
  }
  if (aExchange.bodyTooLarge_) {
    return Send(aConnection, aExchange, Refusal(kTooLarge, "body", "the body is too large"));
  }
  const uint64_t bytes = aExchange.headBytes_ + aExchange.request_.body_.size() * kCopiesInWork;
  if (!budget_->BeginWork(aExchange.connection_, bytes)) {
    return Send(aConnection, aExchange, Busy());
  }
  // Suspends the idle timeout, which would otherwise include the work on the request.
  MHD_set_connection_option(aConnection, MHD_CONNECTION_OPTION_TIMEOUT, 0U);
  AdminResponse response;
  try {
    response = Dispatch(aExchange.request_);
  } catch (const std::exception& failure) {
    response = AdminResponse::Error(kInternal, "internal", "", failure.what());
  } catch (...) {
    response = AdminResponse::Error(kInternal, "internal", "", "an exception of unknown type");
  }
  const auto idle = std::chrono::ceil<std::chrono::seconds>(budget_->Limits().idleTimeout_).count();
  MHD_set_connection_option(
    aConnection, MHD_CONNECTION_OPTION_TIMEOUT, static_cast<unsigned int>(idle));
  return Send(aConnection, aExchange, std::move(response));
}

std::optional<AdminResponse>
AdminServer::State::CheckHead(const Exchange& aExchange) const
{
  const IntakeLimits& limits = budget_->Limits();
  if (aExchange.headerFields_ > limits.maxHeaderFields_) {
    return Refusal(kTooManyFields,
                   "headers",
                   "more than " + std::to_string(limits.maxHeaderFields_) + " header fields");
  }
  const std::string length = aExchange.request_.Header("content-length");
  uint64_t bytes = 0;
  const auto parsed = std::from_chars(length.data(), length.data() + length.size(), bytes);
  const bool isTooLarge =
    parsed.ec == std::errc::result_out_of_range || bytes > limits.maxBodyBytes_;
  return isTooLarge ? std::optional(Refusal(kTooLarge,
                                            "body",
                                            "the body is above the limit of " +
                                              std::to_string(limits.maxBodyBytes_) + " bytes"))
                    : std::nullopt;
}

MHD_Result
AdminServer::State::TakeBody(Exchange& aExchange, const char* aData, size_t* aDataSize)
{
  const size_t size = std::exchange(*aDataSize, 0);
  std::string& body = aExchange.request_.body_;
  const uint64_t limit = budget_->Limits().maxBodyBytes_;
  if (!aExchange.bodyTooLarge_ && body.size() + size <= limit) {
    if (!budget_->Receive(aExchange.connection_, size)) {
      return MHD_NO;
    }
    body.append(aData, size);
    return MHD_YES;
  }
  // Only a chunked body gets here. The refusal cannot be sent before its end.
  aExchange.bodyTooLarge_ = true;
  std::string().swap(body);
  aExchange.discardedBytes_ += size;
  const bool goesOn = aExchange.discardedBytes_ <= kMaxDiscardedBodies * limit &&
                      budget_->Receive(aExchange.connection_, 0);
  return goesOn ? MHD_YES : MHD_NO;
}

AdminResponse
AdminServer::State::Dispatch(AdminRequest& aRequest) const
{
  const std::vector<std::string> path = SplitPath(aRequest.path_);
  for (const BoundRoute& route : routes_) {
    if (route.method_ == aRequest.method_ && Match(route.segments_, path, aRequest.parameters_)) {
      return route.handler_(aRequest);
    }
  }
  return fallback_ ? fallback_(aRequest)
                   : AdminResponse::Error(kNotFound, "not-found", "path", "there is no such path");
}

MHD_Result
AdminServer::State::Send(MHD_Connection* aConnection, Exchange& aExchange, AdminResponse aResponse)
{
  aExchange.response_ = std::move(aResponse);
  const AdminResponse& response = aExchange.response_;
  std::string().swap(aExchange.request_.body_);
  budget_->BeginResponse(aExchange.connection_, response.body_.size());
  MHD_Response* sent =
    MHD_create_response_from_buffer(response.body_.size(),
                                    const_cast<char*>(response.body_.data()), // Not modified.
                                    MHD_RESPMEM_PERSISTENT);
  if (!sent) {
    return MHD_NO;
  }
  MHD_add_response_header(sent, "Content-Type", response.contentType_.c_str());
  if (response.retryAfter_ > std::chrono::milliseconds(0)) {
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(response.retryAfter_);
    MHD_add_response_header(sent, "Retry-After", std::to_string(seconds.count()).c_str());
  }
  if (!response.challenge_.empty()) {
    MHD_add_response_header(sent, "WWW-Authenticate", response.challenge_.c_str());
  }
  if (response.closeConnection_) {
    MHD_add_response_header(sent, "Connection", "close");
  }
  const MHD_Result result = MHD_queue_response(aConnection, response.status_, sent);
  MHD_destroy_response(sent);
  return result;
}

AdminServer::AdminServer()
  : state_(std::make_unique<State>())
{
  IntakeLimits limits;
  limits.maxBodyBytes_ = kMaxOwnBodyBytes;
  state_->ownBudget_ = std::make_unique<IntakeBudget>(limits, state_->clock_);
  state_->budget_ = state_->ownBudget_.get();
}

AdminServer::~AdminServer()
{
  Shutdown();
}

void
AdminServer::AddRoute(const std::string& aMethod, const std::string& aPattern, Handler aHandler)
{
  state_->routes_.push_back(BoundRoute{ aMethod, SplitPath(aPattern), std::move(aHandler) });
}

void
AdminServer::SetFallback(Handler aHandler)
{
  state_->fallback_ = std::move(aHandler);
}

void
AdminServer::SetBudget(IntakeBudget& aBudget)
{
  state_->budget_ = &aBudget;
  state_->ownBudget_.reset();
}

leaf::result<void>
AdminServer::Init(const Endpoint& aListen)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aListen.port_);
  inet_pton(AF_INET, aListen.address_.c_str(), &address.sin_addr);
  const IntakeLimits& limits = state_->budget_->Limits();
  constexpr unsigned int kFlags =
    MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL | MHD_USE_ITC;
  const auto idle = std::chrono::ceil<std::chrono::seconds>(limits.idleTimeout_).count();
  state_->daemon_ = MHD_start_daemon(kFlags,
                                     aListen.port_,
                                     nullptr,
                                     nullptr,
                                     &State::OnAccess,
                                     state_.get(),
                                     MHD_OPTION_SOCK_ADDR,
                                     &address,
                                     MHD_OPTION_URI_LOG_CALLBACK,
                                     &State::OnRequestLine,
                                     state_.get(),
                                     MHD_OPTION_NOTIFY_COMPLETED,
                                     &State::OnCompleted,
                                     state_.get(),
                                     MHD_OPTION_NOTIFY_CONNECTION,
                                     &State::OnConnection,
                                     state_.get(),
                                     MHD_OPTION_CONNECTION_LIMIT,
                                     limits.maxConnections_ + kConnectionMargin,
                                     MHD_OPTION_CONNECTION_TIMEOUT,
                                     static_cast<unsigned int>(idle),
                                     MHD_OPTION_CONNECTION_MEMORY_LIMIT,
                                     static_cast<size_t>(limits.maxHeadBytes_),
                                     MHD_OPTION_THREAD_STACK_SIZE,
                                     kThreadStackBytes,
                                     MHD_OPTION_LISTEN_BACKLOG_SIZE,
                                     kListenBacklog,
                                     MHD_OPTION_END);
  if (!state_->daemon_) {
    return leaf::new_error(
      ConfigError{ ConfigError::Code::Semantic, "/admin", "cannot listen on " + aListen.Text() });
  }
  return {};
}

void
AdminServer::Shutdown()
{
  if (!state_->daemon_) {
    return;
  }
  // libmicrohttpd 0.9.75 reads a null pointer when it refuses a malformed request after the begin
  // of MHD_stop_daemon(), so connections end before.
  const int listener = MHD_quiesce_daemon(state_->daemon_);
  state_->CloseConnections();
  MHD_stop_daemon(state_->daemon_);
  state_->daemon_ = nullptr;
  if (listener >= 0) {
    close(listener);
  }
}

}
