#include "gateway_impl_p.h"
#include "http_fields_p.h"
#include "listen_address_p.h"

#include "sardinespoke/event_log.h"

#include <nlohmann/json.hpp>

#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <charconv>
#include <exception>
#include <memory>
#include <utility>

namespace sardinespoke {

namespace {

// A handler needs less than 64 KiB for its calls of libcurl, JSON and the dispatcher.
constexpr size_t kThreadStackBytes = 256 * 1024;
// libmicrohttpd itself refuses headers beyond this size, without the header Sardinespoke-Outcome.
constexpr size_t kConnectionMemoryBytes = 64 * 1024;
// Longest part of an oversized chunked body that is read and discarded, in multiples of the limit.
constexpr size_t kMaxDiscardedBodies = 3;
constexpr unsigned int kListenBacklog = 1024;
// Longest wait during a stop for the first request on an open connection. Callers send at once on a
// new connection.
constexpr std::chrono::milliseconds kFirstRequestTimeout{ 500 };
// libmicrohttpd reports a connection some time after accepting it, so the count of connections
// without a request may still rise.
constexpr std::chrono::milliseconds kAcceptSettleTime{ 50 };
// Time for connections to end before libmicrohttpd is stopped.
constexpr std::chrono::seconds kCloseTimeout{ 5 };
constexpr std::string_view kIdsPath = "/v1/request-ids";
constexpr std::string_view kHealthPath = "/healthz";
constexpr int kOkStatus = 200;
constexpr int kMethodNotAllowed = 405;
constexpr int kInternalError = 500;
constexpr int kUnavailable = 503;

/// Per-connection state, stored by libmicrohttpd as the socket context.
struct ConnectionState
{
  bool awaitingFirstRequest_ = true;
};

/// @returns The path of a request target, without the query.
std::string_view
PathOf(std::string_view aTarget)
{
  return aTarget.substr(0, aTarget.find('?'));
}

/// Runs a function and converts its error to a response.
template<typename Function>
CallerResponse
ToCallerResponse(Function aFunction)
{
  return leaf::try_handle_all(
    aFunction,
    [](const GatewayError& aError) { return ErrorResponse(aError); },
    [] {
      // Includes exceptions, which can occur at any point, so the request may have run.
      return ErrorResponse(kInternalError,
                           Outcome::Unknown,
                           CodeName(GatewayError::Code::Internal),
                           "",
                           "a fault of this entry host");
    });
}

GatewayError
StoppingError()
{
  return GatewayError{ GatewayError::Code::Stopping, "", "this entry host is stopping" };
}

GatewayError
BodyTooLarge(const GatewaySettings& aSettings)
{
  return GatewayError{ GatewayError::Code::BodyTooLarge,
                       "body",
                       "more than " + std::to_string(aSettings.maxBodyBytes_) + " bytes" };
}

CallerResponse
JsonResponse(int aStatus, Outcome aOutcome, const nlohmann::json& aBody)
{
  CallerResponse response;
  response.status_ = aStatus;
  response.outcome_ = aOutcome;
  response.headers_.emplace_back("Content-Type", "application/json");
  response.body_ = aBody.dump();
  return response;
}

/// Body source of responses to HEAD; libmicrohttpd sends the length and never reads the body.
ssize_t
NoBody(void*, uint64_t, char*, size_t)
{
  return MHD_CONTENT_READER_END_WITH_ERROR;
}

MHD_Response*
MakeMhdResponse(CallerResponse& aResponse)
{
  if (aResponse.headContentLength_) {
    return MHD_create_response_from_callback(
      *aResponse.headContentLength_, 1024, &NoBody, nullptr, nullptr);
  }
  return MHD_create_response_from_buffer(
    aResponse.body_.size(), aResponse.body_.data(), MHD_RESPMEM_PERSISTENT);
}

}

Gateway::Impl::Impl(GatewaySettings aSettings,
                    const ClockI& aClock,
                    DispatcherI& aDispatcher,
                    BackendLinkI& aBackends,
                    RequestClaimsI& aClaims,
                    RetryBudget& aBudget,
                    EventLogI& aEvents)
  : settings_(std::move(aSettings))
  , claims_(aClaims)
  , events_(aEvents)
  , runner_(settings_, aClock, aDispatcher, aBackends, aClaims, aBudget, aEvents)
  , watch_(settings_.hangupPollInterval_)
{
}

Gateway::Impl::~Impl()
{
  Shutdown();
}

leaf::result<void>
Gateway::Impl::Init()
{
  const auto address = ParseListenAddress(settings_.listenAddress_);
  if (!address) {
    return leaf::new_error(GatewayError{ GatewayError::Code::ListenFailed,
                                         "caller",
                                         "expected an IPv4 address and a port, found \"" +
                                           settings_.listenAddress_ + "\"" });
  }
  constexpr unsigned int kFlags =
    MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL | MHD_USE_ITC;
  const auto idleSeconds = static_cast<unsigned int>(settings_.idleTimeout_.count());
  daemon_ = MHD_start_daemon(kFlags,
                             ntohs(address->sin_port),
                             nullptr,
                             nullptr,
                             &Impl::OnAccess,
                             this,
                             MHD_OPTION_SOCK_ADDR,
                             &*address,
                             MHD_OPTION_URI_LOG_CALLBACK,
                             &Impl::OnRequestLine,
                             this,
                             MHD_OPTION_NOTIFY_COMPLETED,
                             &Impl::OnCompleted,
                             this,
                             MHD_OPTION_NOTIFY_CONNECTION,
                             &Impl::OnConnection,
                             this,
                             MHD_OPTION_CONNECTION_LIMIT,
                             static_cast<unsigned int>(settings_.maxConnections_),
                             MHD_OPTION_CONNECTION_TIMEOUT,
                             idleSeconds,
                             MHD_OPTION_CONNECTION_MEMORY_LIMIT,
                             kConnectionMemoryBytes,
                             MHD_OPTION_THREAD_STACK_SIZE,
                             kThreadStackBytes,
                             MHD_OPTION_LISTEN_BACKLOG_SIZE,
                             kListenBacklog,
                             MHD_OPTION_STRICT_FOR_CLIENT,
                             1,
                             MHD_OPTION_END);
  if (!daemon_) {
    return leaf::new_error(GatewayError{
      GatewayError::Code::ListenFailed, "caller", "cannot listen on " + settings_.listenAddress_ });
  }
  port_ = MHD_get_daemon_info(daemon_, MHD_DAEMON_INFO_BIND_PORT)->port;
  events_.Record("gateway.started", "start", { { "address", settings_.listenAddress_ } });
  return {};
}

void
Gateway::Impl::FailHealth()
{
  healthFails_ = true;
  events_.Record("gateway.health_fails", "stop", nlohmann::json::object());
}

void
Gateway::Impl::RefuseNewRequests()
{
  healthFails_ = true;
  refusing_ = true;
  events_.Record("gateway.refuses_new", "stop", nlohmann::json::object());
}

bool
Gateway::Impl::WaitIdle(std::chrono::milliseconds aLimit)
{
  std::unique_lock lock(idleMutex_);
  return idle_.wait_for(lock, aLimit, [this] { return inFlight_ == 0; });
}

void
Gateway::Impl::Shutdown()
{
  if (!daemon_) {
    return;
  }
  const int listener = StopListening();
  WaitForUnusedConnections();
  CloseConnections();
  MHD_stop_daemon(daemon_);
  daemon_ = nullptr;
  if (listener >= 0) {
    close(listener); // Not earlier: the threads of libmicrohttpd use it until they end.
  }
  events_.Record("gateway.stopped", "stop", nlohmann::json::object());
}

/// Accepts the connections in the backlog and refuses later ones. If an established connection were
/// closed, its caller could not know whether a request on it ran; after a refused connection, the
/// caller knows that it did not.
/// @returns The listening socket, to be closed by the caller; negative if there is none.
int
Gateway::Impl::StopListening()
{
  const int listener = MHD_quiesce_daemon(daemon_);
  if (listener < 0) {
    return listener;
  }
  fcntl(listener, F_SETFL, fcntl(listener, F_GETFL) | O_NONBLOCK);
  for (;;) {
    sockaddr_storage address{};
    socklen_t length = sizeof(address);
    const int connection = accept4(
      listener, reinterpret_cast<sockaddr*>(&address), &length, SOCK_CLOEXEC | SOCK_NONBLOCK);
    if (connection < 0) {
      break;
    }
    MHD_add_connection(daemon_, connection, reinterpret_cast<sockaddr*>(&address), length);
  }
  shutdown(listener, SHUT_RDWR);
  return listener;
}

/// Waits until the first requests on open connections have been read and refused.
void
Gateway::Impl::WaitForUnusedConnections()
{
  const auto idle = [this] { return inFlight_ == 0 && awaitingFirstRequest_ == 0; };
  const auto deadline = std::chrono::steady_clock::now() + kFirstRequestTimeout;
  std::unique_lock lock(idleMutex_);
  do {
    idle_.wait_until(lock, deadline, idle);
    idle_.wait_for(lock, kAcceptSettleTime, [] { return false; });
  } while (!idle() && std::chrono::steady_clock::now() < deadline);
}

/// Ends all connections. libmicrohttpd 0.9.75 reads a null pointer when it refuses a malformed
/// request after the begin of MHD_stop_daemon().
void
Gateway::Impl::CloseConnections()
{
  std::unique_lock lock(idleMutex_);
  closing_ = true;
  for (const int socket : sockets_) {
    shutdown(socket, SHUT_RDWR);
  }
  idle_.wait_for(lock, kCloseTimeout, [this] { return sockets_.empty(); });
}

GatewayCounters
Gateway::Impl::Counters() const
{
  const auto count = [this](Outcome aOutcome) {
    return outcomes_.at(static_cast<size_t>(aOutcome)).load();
  };
  GatewayCounters counters;
  counters.ok_ = count(Outcome::Ok);
  counters.notRun_ = count(Outcome::NotRun);
  counters.unknown_ = count(Outcome::Unknown);
  counters.alreadyRun_ = count(Outcome::AlreadyRun);
  counters.retries_ = runner_.Retries();
  counters.slotRefusals_ = runner_.SlotRefusals();
  counters.callerDisconnects_ = watch_.Disconnects();
  counters.connections_ = connections_;
  const std::lock_guard lock(idleMutex_);
  counters.inFlight_ = inFlight_;
  return counters;
}

void*
Gateway::Impl::OnRequestLine(void* aSelf, const char* aTarget, MHD_Connection* aConnection)
{
  auto* self = static_cast<Impl*>(aSelf);
  auto exchange = std::make_unique<Exchange>();
  exchange->raw_.target_ = aTarget;
  const auto* info = MHD_get_connection_info(aConnection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
  auto* state = info ? static_cast<ConnectionState*>(info->socket_context) : nullptr;
  const std::lock_guard lock(self->idleMutex_);
  ++self->inFlight_;
  if (state && std::exchange(state->awaitingFirstRequest_, false)) {
    --self->awaitingFirstRequest_;
  }
  return exchange.release();
}

void
Gateway::Impl::OnCompleted(void* aSelf,
                           MHD_Connection*,
                           void** aExchange,
                           MHD_RequestTerminationCode)
{
  if (!*aExchange) {
    return;
  }
  const std::unique_ptr<Exchange> exchange(static_cast<Exchange*>(*aExchange));
  *aExchange = nullptr;
  auto* self = static_cast<Impl*>(aSelf);
  const std::lock_guard lock(self->idleMutex_);
  if (--self->inFlight_ == 0) {
    self->idle_.notify_all();
  }
}

void
Gateway::Impl::OnConnection(void* aSelf,
                            MHD_Connection* aConnection,
                            void** aContext,
                            MHD_ConnectionNotificationCode aCode)
{
  auto* self = static_cast<Impl*>(aSelf);
  const int socket =
    MHD_get_connection_info(aConnection, MHD_CONNECTION_INFO_CONNECTION_FD)->connect_fd;
  const std::lock_guard lock(self->idleMutex_);
  if (aCode == MHD_CONNECTION_NOTIFY_STARTED) {
    self->sockets_.insert(socket);
    if (self->closing_) {
      shutdown(socket, SHUT_RDWR);
    }
    ++self->connections_;
    ++self->awaitingFirstRequest_;
    *aContext = std::make_unique<ConnectionState>().release();
    return;
  }
  self->sockets_.erase(socket);
  const std::unique_ptr<ConnectionState> state(static_cast<ConnectionState*>(*aContext));
  *aContext = nullptr;
  if (state && state->awaitingFirstRequest_) {
    --self->awaitingFirstRequest_;
  }
  self->idle_.notify_all();
}

MHD_Result
Gateway::Impl::OnHeader(void* aExchange,
                        MHD_ValueKind,
                        const char* aName,
                        size_t aNameSize,
                        const char* aValue,
                        size_t aValueSize)
{
  static_cast<Exchange*>(aExchange)->raw_.headers_.emplace_back(
    std::string(aName, aNameSize), aValue ? std::string(aValue, aValueSize) : std::string());
  return MHD_YES;
}

MHD_Result
Gateway::Impl::OnAccess(void* aSelf,
                        MHD_Connection* aConnection,
                        const char*,
                        const char* aMethod,
                        const char*,
                        const char* aData,
                        size_t* aDataSize,
                        void** aExchange)
{
  auto* self = static_cast<Impl*>(aSelf);
  auto* exchange = static_cast<Exchange*>(*aExchange);
  try {
    if (!exchange->headersRead_) {
      exchange->raw_.method_ = aMethod;
    }
    return self->Handle(aConnection, *exchange, aData, aDataSize);
  } catch (const std::exception& error) {
    // Exceptions must not propagate into the C library. Closing the connection tells the caller
    // that the outcome is unknown.
    self->events_.Record("gateway.internal_error", error.what(), nlohmann::json::object());
  } catch (...) {
    self->events_.Record("gateway.internal_error", "unknown", nlohmann::json::object());
  }
  return MHD_NO;
}

MHD_Result
Gateway::Impl::Handle(MHD_Connection* aConnection,
                      Exchange& aExchange,
                      const char* aData,
                      size_t* aDataSize)
{
  if (!aExchange.headersRead_) {
    aExchange.headersRead_ = true;
    return HandleHeaders(aConnection, aExchange);
  }
  if (*aDataSize > 0) {
    return HandleBody(aExchange, aData, aDataSize);
  }
  if (aExchange.bodyTooLarge_) {
    return SendResponse(aConnection, aExchange, ErrorResponse(BodyTooLarge(settings_)));
  }
  // Suspends the idle timeout, which would otherwise include the run time of the request:
  // libmicrohttpd would close the connection before the response is sent.
  MHD_set_connection_option(aConnection, MHD_CONNECTION_OPTION_TIMEOUT, 0U);
  CallerResponse response = HandleRequest(aConnection, aExchange);
  MHD_set_connection_option(aConnection,
                            MHD_CONNECTION_OPTION_TIMEOUT,
                            static_cast<unsigned int>(settings_.idleTimeout_.count()));
  return SendResponse(aConnection, aExchange, std::move(response));
}

bool
Gateway::Impl::IsHealthCheck(const RawRequest& aRaw) const
{
  return PathOf(aRaw.target_) == kHealthPath;
}

MHD_Result
Gateway::Impl::HandleHeaders(MHD_Connection* aConnection, Exchange& aExchange)
{
  MHD_get_connection_values_n(aConnection, MHD_HEADER_KIND, &Impl::OnHeader, &aExchange);
  // Refuses before reading the body, so that a large body costs nothing.
  if (refusing_ && !IsHealthCheck(aExchange.raw_)) {
    return SendResponse(aConnection, aExchange, ErrorResponse(StoppingError()));
  }
  std::optional<CallerResponse> refusal = leaf::try_handle_all(
    [&]() -> leaf::result<std::optional<CallerResponse>> {
      BOOST_LEAF_CHECK(CheckLimits(aExchange.raw_, settings_));
      return std::optional<CallerResponse>();
    },
    [](const GatewayError& aError) { return std::make_optional(ErrorResponse(aError)); },
    [] {
      return std::make_optional(
        ErrorResponse(GatewayError{ GatewayError::Code::Internal, "", "unexpected error type" }));
    });
  if (refusal) {
    return SendResponse(aConnection, aExchange, std::move(*refusal));
  }
  const char* length = MHD_lookup_connection_value(aConnection, MHD_HEADER_KIND, "Content-Length");
  if (!length) {
    return MHD_YES;
  }
  const std::string_view digits = length;
  uint64_t bytes = 0;
  std::from_chars(digits.data(), digits.data() + digits.size(), bytes);
  if (bytes <= settings_.maxBodyBytes_) {
    aExchange.body_.reserve(bytes);
    return MHD_YES;
  }
  return SendResponse(aConnection, aExchange, ErrorResponse(BodyTooLarge(settings_)));
}

MHD_Result
Gateway::Impl::HandleBody(Exchange& aExchange, const char* aData, size_t* aDataSize) const
{
  const size_t size = std::exchange(*aDataSize, 0);
  if (aExchange.body_.size() + size <= settings_.maxBodyBytes_ && !aExchange.bodyTooLarge_) {
    aExchange.body_.append(aData, size);
    return MHD_YES;
  }
  // Only a chunked body gets here. The response cannot be sent before its end, so the rest is
  // discarded; the connection is closed if the caller sends too much.
  aExchange.bodyTooLarge_ = true;
  aExchange.discardedBytes_ += size;
  return aExchange.discardedBytes_ <= kMaxDiscardedBodies * settings_.maxBodyBytes_ ? MHD_YES
                                                                                    : MHD_NO;
}

CallerResponse
Gateway::Impl::HandleRequest(MHD_Connection* aConnection, Exchange& aExchange)
{
  const RawRequest& raw = aExchange.raw_;
  const std::string_view path = PathOf(raw.target_);
  if (IsHealthCheck(raw)) {
    return HealthResponse();
  }
  if (path == kIdsPath) {
    return IssueIds(raw);
  }
  if (path.substr(0, kServicesPrefix.size()) == kServicesPrefix) {
    return RunService(aConnection, aExchange);
  }
  return ErrorResponse(
    GatewayError{ GatewayError::Code::UnknownRoute, "path", "expected /v1/services/<service>" });
}

CallerResponse
Gateway::Impl::RunService(MHD_Connection* aConnection, Exchange& aExchange)
{
  return ToCallerResponse([&]() -> leaf::result<CallerResponse> {
    BOOST_LEAF_AUTO(request, ParseServiceRequest(aExchange.raw_));
    request.body_ = std::move(aExchange.body_);
    const auto* info = MHD_get_connection_info(aConnection, MHD_CONNECTION_INFO_CONNECTION_FD);
    const auto cancelled = std::make_shared<std::atomic<bool>>(false);
    const uint64_t handle = watch_.Add(info->connect_fd, cancelled);
    const std::shared_ptr<void> unwatch(nullptr, [&](void*) { watch_.Remove(handle); });
    return runner_.Run(request, cancelled);
  });
}

CallerResponse
Gateway::Impl::IssueIds(const RawRequest& aRaw)
{
  if (aRaw.method_ != "POST") {
    return ErrorResponse(
      kMethodNotAllowed, Outcome::NotRun, "malformed", "method", "expected POST");
  }
  return ToCallerResponse([&]() -> leaf::result<CallerResponse> {
    BOOST_LEAF_AUTO(count, ParseIdCount(aRaw.target_));
    const std::vector<std::string> ids = claims_.Issue(count);
    if (ids.empty()) {
      return ErrorResponse(
        kUnavailable, Outcome::NotRun, "no-ids", "", "no request ids can be issued now");
    }
    return JsonResponse(kOkStatus, Outcome::Ok, { { "ids", ids } });
  });
}

CallerResponse
Gateway::Impl::HealthResponse() const
{
  const bool healthy = !healthFails_ && (!settings_.healthy_ || settings_.healthy_());
  if (healthy) {
    return JsonResponse(kOkStatus, Outcome::Ok, { { "status", "ok" } });
  }
  const char* reason = healthFails_ ? "stopping" : "no-view";
  return ErrorResponse(
    kUnavailable, Outcome::NotRun, reason, "", "this entry host takes no new requests");
}

void
Gateway::Impl::Count(Outcome aOutcome)
{
  ++outcomes_.at(static_cast<size_t>(aOutcome));
}

MHD_Result
Gateway::Impl::SendResponse(MHD_Connection* aConnection,
                            Exchange& aExchange,
                            CallerResponse aResponse)
{
  aExchange.response_ = std::move(aResponse);
  CallerResponse& response = aExchange.response_;
  if (aExchange.raw_.method_ != "HEAD") {
    response.headContentLength_.reset();
  }
  if (!IsHealthCheck(aExchange.raw_)) {
    Count(response.outcome_);
  }
  MHD_Response* mhdResponse = MakeMhdResponse(response);
  if (!mhdResponse) {
    return MHD_NO;
  }
  MHD_add_response_header(mhdResponse, "Sardinespoke-Outcome", OutcomeName(response.outcome_));
  for (const auto& [name, value] : response.headers_) {
    MHD_add_response_header(mhdResponse, name.c_str(), value.c_str());
  }
  // Sent from the start of a graceful stop, so that callers give up their persistent connections
  // before Shutdown() closes them: a request on a connection being closed gets no response.
  if (healthFails_) {
    MHD_add_response_header(mhdResponse, "Connection", "close");
  }
  const MHD_Result result =
    MHD_queue_response(aConnection, static_cast<unsigned int>(response.status_), mhdResponse);
  MHD_destroy_response(mhdResponse);
  return result;
}

}
