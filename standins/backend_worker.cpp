#include "backend_worker.h"

#include "answer_body.h"

#include <arpa/inet.h>

#include <array>
#include <charconv>
#include <cstring>
#include <string_view>

namespace sardinespoke {

namespace {

constexpr std::array<const char*, static_cast<size_t>(BackendFault::Count)> kFaultNames{
  "none",     "fail-all", "close-after-acting", "short-body", "late-answer", "out-of-order",
  "mixed-up", "down",     "wrong-body"
};
constexpr size_t kMaxAnswerBytes = 16 * 1024 * 1024;
constexpr uint64_t kMaxRunMs = 600000;
constexpr unsigned int kOk = 200;
constexpr unsigned int kFailed = 500;
constexpr unsigned int kUnavailable = 503;

uint64_t
NumberArgument(MHD_Connection* aConnection, const char* aName, uint64_t aDefault, uint64_t aMax)
{
  const char* text = MHD_lookup_connection_value(aConnection, MHD_GET_ARGUMENT_KIND, aName);
  if (!text) {
    return aDefault;
  }
  uint64_t number = aDefault;
  std::from_chars(text, text + std::strlen(text), number);
  return std::min(number, aMax);
}

std::string
Text(const char* aValue)
{
  return aValue ? aValue : "";
}

std::string
Header(MHD_Connection* aConnection, const char* aName)
{
  return Text(MHD_lookup_connection_value(aConnection, MHD_HEADER_KIND, aName));
}

/// Sends half of a body and then closes the connection.
ssize_t
ReadHalf(void* aBody, uint64_t aOffset, char* aOut, size_t aMax)
{
  const auto* body = static_cast<std::string*>(aBody);
  const size_t half = body->size() / 2;
  if (aOffset >= half) {
    return MHD_CONTENT_READER_END_WITH_ERROR;
  }
  const size_t count = std::min(aMax, half - static_cast<size_t>(aOffset));
  std::memcpy(aOut, body->data() + aOffset, count);
  return static_cast<ssize_t>(count);
}

}

const char*
BackendFaultName(BackendFault aFault)
{
  return kFaultNames.at(static_cast<size_t>(aFault));
}

BackendFault
ParseBackendFault(const std::string& aName)
{
  size_t index = 0;
  while (index < kFaultNames.size() && aName != kFaultNames.at(index)) {
    ++index;
  }
  return static_cast<BackendFault>(index);
}

BackendWorker::BackendWorker(BackendWorkerSettings aSettings,
                             RunRecord& aRecord,
                             DelayTimer& aTimer)
  : settings_(std::move(aSettings))
  , record_(aRecord)
  , timer_(aTimer)
{
}

BackendWorker::~BackendWorker()
{
  Stop();
}

bool
BackendWorker::Start()
{
  if (daemon_) {
    return true;
  }
  {
    const std::lock_guard lock(mutex_);
    stopping_ = false;
  }
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(settings_.port_);
  if (inet_pton(AF_INET, settings_.ip_.c_str(), &address.sin_addr) != 1) {
    return false;
  }
  constexpr unsigned int kFlags =
    MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ITC;
  daemon_ = MHD_start_daemon(kFlags,
                             settings_.port_,
                             nullptr,
                             nullptr,
                             &BackendWorker::OnAccess,
                             this,
                             MHD_OPTION_SOCK_ADDR,
                             &address,
                             MHD_OPTION_NOTIFY_COMPLETED,
                             &BackendWorker::OnCompleted,
                             this,
                             MHD_OPTION_NOTIFY_CONNECTION,
                             &BackendWorker::OnConnection,
                             this,
                             MHD_OPTION_CONNECTION_LIMIT,
                             static_cast<unsigned int>(settings_.connections_),
                             MHD_OPTION_END);
  if (!daemon_) {
    return false;
  }
  settings_.port_ = MHD_get_daemon_info(daemon_, MHD_DAEMON_INFO_BIND_PORT)->port;
  return true;
}

void
BackendWorker::Stop()
{
  if (!daemon_) {
    return;
  }
  std::set<ExchangeRef> suspended;
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
    suspended.swap(suspended_);
    for (const ExchangeRef& exchange : suspended) {
      // libmicrohttpd cannot stop while a connection is suspended.
      exchange->aborted_ = true;
      record_.Finish(exchange->runIndex_);
      MHD_resume_connection(exchange->connection_);
    }
    running_ = 0;
    ++incarnation_;
  }
  MHD_stop_daemon(daemon_);
  daemon_ = nullptr;
}

void
BackendWorker::SetFault(BackendFault aFault)
{
  {
    const std::lock_guard lock(mutex_);
    fault_ = aFault;
  }
  if (aFault == BackendFault::Down) {
    Stop();
  } else {
    Start();
  }
}

std::string
BackendWorker::Address() const
{
  return settings_.ip_ + ":" + std::to_string(settings_.port_);
}

void
BackendWorker::OnConnection(void* aSelf,
                            MHD_Connection*,
                            void**,
                            MHD_ConnectionNotificationCode aCode)
{
  if (aCode == MHD_CONNECTION_NOTIFY_STARTED) {
    ++static_cast<BackendWorker*>(aSelf)->opened_;
  }
}

void
BackendWorker::OnCompleted(void*, MHD_Connection*, void** aExchange, MHD_RequestTerminationCode)
{
  delete static_cast<ExchangeRef*>(*aExchange);
  *aExchange = nullptr;
}

MHD_Result
BackendWorker::OnAccess(void* aSelf,
                        MHD_Connection* aConnection,
                        const char* aUrl,
                        const char*,
                        const char*,
                        const char*,
                        size_t* aDataSize,
                        void** aExchange)
{
  if (!*aExchange) {
    auto exchange = std::make_shared<Exchange>();
    exchange->connection_ = aConnection;
    *aExchange = new ExchangeRef(std::move(exchange));
    return MHD_YES;
  }
  if (*aDataSize > 0) {
    *aDataSize = 0;
    return MHD_YES;
  }
  auto* self = static_cast<BackendWorker*>(aSelf);
  const ExchangeRef exchange = *static_cast<ExchangeRef*>(*aExchange);
  if (!exchange->started_) {
    return self->Begin(exchange, aUrl);
  }
  return self->Respond(*exchange);
}

MHD_Result
BackendWorker::Begin(const ExchangeRef& aExchange, const std::string& aPath)
{
  MHD_Connection* connection = aExchange->connection_;
  RunEntry& run = aExchange->run_;
  run.attempt_ = Header(connection, "Sardinespoke-Attempt");
  run.requestId_ = Header(connection, "Sardinespoke-Request-Id");
  run.service_ = Header(connection, "Sardinespoke-Service");
  run.nonce_ = Text(MHD_lookup_connection_value(connection, MHD_GET_ARGUMENT_KIND, "nonce"));
  run.worker_ = settings_.number_;
  aExchange->bytes_ = NumberArgument(connection, "bytes", 0, kMaxAnswerBytes);
  const std::chrono::milliseconds runTime{ NumberArgument(connection, "ms", 0, kMaxRunMs) };
  {
    const std::lock_guard lock(mutex_);
    if (stopping_) {
      return MHD_NO;
    }
    if (running_ >= settings_.slots_) {
      ++refused_;
      return RejectNoFreeSlot(*aExchange);
    }
    ++running_;
    ++runsStarted_;
    aExchange->fault_ = fault_;
    aExchange->started_ = true;
    aExchange->incarnation_ = incarnation_;
    const bool fails = fault_ == BackendFault::FailAll || aPath == "/always-fails";
    run.status_ = static_cast<int>(
      fails ? kFailed : NumberArgument(connection, "fail", kOk, MHD_HTTP_NOT_EXTENDED));
    aExchange->runIndex_ = record_.Start(run);
    const RunEntry previous = std::exchange(previous_, run);
    if (fault_ == BackendFault::MixedUp && !previous.nonce_.empty()) {
      run = previous;
    }
    if (fault_ == BackendFault::WrongBody && !previous.nonce_.empty()) {
      run.nonce_ = previous.nonce_;
    }
  }
  if (runTime.count() == 0 && aExchange->fault_ != BackendFault::LateAnswer &&
      aExchange->fault_ != BackendFault::OutOfOrder) {
    EndRun(aExchange);
    return Respond(*aExchange);
  }
  Schedule(aExchange, runTime);
  return MHD_YES;
}

void
BackendWorker::Schedule(const ExchangeRef& aExchange, std::chrono::milliseconds aRunTime)
{
  std::chrono::milliseconds responseDelay{ 0 };
  const std::lock_guard lock(mutex_);
  if (aExchange->fault_ == BackendFault::LateAnswer) {
    responseDelay = kLateResponseDelay;
  }
  if (aExchange->fault_ == BackendFault::OutOfOrder && runsStarted_ % 2 == 1) {
    responseDelay = kReorderDelay;
  }
  const auto end = DelayTimer::Clock::now() + aRunTime;
  timer_.Add(end, [this, aExchange] { EndRun(aExchange); });
  if (stopping_) {
    aExchange->aborted_ = true;
    return; // Stop() has resumed all other connections; the library closes this one.
  }
  MHD_suspend_connection(aExchange->connection_);
  suspended_.insert(aExchange);
  timer_.Add(end + responseDelay, [this, aExchange] { Resume(aExchange); });
}

void
BackendWorker::EndRun(const ExchangeRef& aExchange)
{
  const std::lock_guard lock(mutex_);
  if (aExchange->incarnation_ != incarnation_) {
    return; // Stop() has aborted the run and freed its slot.
  }
  record_.Finish(aExchange->runIndex_);
  --running_;
}

void
BackendWorker::Resume(const ExchangeRef& aExchange)
{
  const std::lock_guard lock(mutex_);
  if (suspended_.erase(aExchange) > 0) {
    MHD_resume_connection(aExchange->connection_);
  }
}

MHD_Result
BackendWorker::RejectNoFreeSlot(Exchange& aExchange)
{
  MHD_Response* response = MHD_create_response_from_buffer(0, nullptr, MHD_RESPMEM_PERSISTENT);
  MHD_add_response_header(response, "Sardinespoke-Refused", "slots");
  const MHD_Result result = MHD_queue_response(aExchange.connection_, kUnavailable, response);
  MHD_destroy_response(response);
  return result;
}

MHD_Result
BackendWorker::Respond(Exchange& aExchange)
{
  if (aExchange.aborted_ || aExchange.fault_ == BackendFault::CloseAfterActing) {
    return MHD_NO;
  }
  aExchange.body_ = MakeResponseBody(aExchange.run_.nonce_, aExchange.bytes_);
  std::string& body = aExchange.body_;
  MHD_Response* response =
    aExchange.fault_ == BackendFault::ShortBody
      ? MHD_create_response_from_callback(body.size(), body.size(), &ReadHalf, &body, nullptr)
      : MHD_create_response_from_buffer(body.size(), body.data(), MHD_RESPMEM_PERSISTENT);
  MHD_add_response_header(response, "Content-Type", "text/plain");
  MHD_add_response_header(response, "Sardinespoke-Attempt", aExchange.run_.attempt_.c_str());
  const MHD_Result result = MHD_queue_response(
    aExchange.connection_, static_cast<unsigned int>(aExchange.run_.status_), response);
  MHD_destroy_response(response);
  return result;
}

}
