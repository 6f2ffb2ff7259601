#include "backend_server.h"

#include <arpa/inet.h>

#include <charconv>
#include <cstring>

namespace sardinespoke {

namespace {

constexpr size_t kMaxRunsPerCall = 20000;
constexpr unsigned int kOk = 200;
constexpr unsigned int kBadRequest = 400;
constexpr unsigned int kNotFound = 404;

/// @returns The query argument, or the default if it is missing or not a number.
uint64_t
NumberArgument(MHD_Connection* aConnection, const char* aName, uint64_t aDefault)
{
  uint64_t number = aDefault;
  if (const char* text = MHD_lookup_connection_value(aConnection, MHD_GET_ARGUMENT_KIND, aName)) {
    std::from_chars(text, text + std::strlen(text), number);
  }
  return number;
}

}

BackendServer::BackendServer(BackendServerSettings aSettings)
  : settings_(std::move(aSettings))
  , record_(settings_.maxRuns_)
  , timer_(std::make_unique<DelayTimer>())
{
}

BackendServer::~BackendServer()
{
  Shutdown();
}

bool
BackendServer::Init()
{
  for (uint32_t number = 0; number < settings_.workers_; ++number) {
    BackendWorkerSettings worker;
    worker.ip_ = settings_.ip_;
    worker.port_ = settings_.basePort_ == 0 ? uint16_t{ 0 }
                                            : static_cast<uint16_t>(settings_.basePort_ + number);
    worker.number_ = number;
    worker.slots_ = settings_.slots_;
    worker.connections_ = settings_.connections_;
    workers_.push_back(std::make_unique<BackendWorker>(worker, record_, *timer_));
    if (!workers_.back()->Start()) {
      return false;
    }
  }
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(settings_.controlPort_);
  if (inet_pton(AF_INET, settings_.ip_.c_str(), &address.sin_addr) != 1) {
    return false;
  }
  control_ = MHD_start_daemon(MHD_USE_EPOLL_INTERNAL_THREAD,
                              settings_.controlPort_,
                              nullptr,
                              nullptr,
                              &BackendServer::OnAccess,
                              this,
                              MHD_OPTION_SOCK_ADDR,
                              &address,
                              MHD_OPTION_END);
  if (!control_) {
    return false;
  }
  settings_.controlPort_ = MHD_get_daemon_info(control_, MHD_DAEMON_INFO_BIND_PORT)->port;
  return true;
}

void
BackendServer::Shutdown()
{
  if (control_) {
    MHD_stop_daemon(control_);
    control_ = nullptr;
  }
  for (const auto& worker : workers_) {
    worker->Stop();
  }
  timer_.reset();
}

bool
BackendServer::SetFault(uint32_t aWorker, BackendFault aFault)
{
  if (aWorker == kAllWorkers) {
    for (const auto& worker : workers_) {
      worker->SetFault(aFault);
    }
    return true;
  }
  if (aWorker >= workers_.size()) {
    return false;
  }
  workers_[aWorker]->SetFault(aFault);
  return true;
}

std::string
BackendServer::ControlAddress() const
{
  return settings_.ip_ + ":" + std::to_string(settings_.controlPort_);
}

BackendServer::ControlResponse
BackendServer::ListRuns(MHD_Connection* aConnection) const
{
  const size_t from = NumberArgument(aConnection, "from", 0);
  const size_t limit =
    std::min(NumberArgument(aConnection, "limit", kMaxRunsPerCall), uint64_t{ kMaxRunsPerCall });
  const std::vector<RunEntry> runs = record_.Runs(from, limit);
  return { kOk,
           { { "runs", runs },
             { "next", from + runs.size() },
             { "total", record_.Size() },
             { "dropped", record_.Dropped() } } };
}

BackendServer::ControlResponse
BackendServer::ListWorkers() const
{
  nlohmann::json list = nlohmann::json::array();
  for (const auto& worker : workers_) {
    list.push_back({ { "address", worker->Address() },
                     { "connections", worker->Connections() },
                     { "refused", worker->Refused() } });
  }
  return { kOk, { { "workers", list } } };
}

BackendServer::ControlResponse
BackendServer::HandleFault(MHD_Connection* aConnection)
{
  const char* name = MHD_lookup_connection_value(aConnection, MHD_GET_ARGUMENT_KIND, "fault");
  const BackendFault fault = ParseBackendFault(name ? name : "");
  const uint64_t worker = NumberArgument(aConnection, "worker", kAllWorkers);
  if (fault == BackendFault::Count || worker > kAllWorkers ||
      !SetFault(static_cast<uint32_t>(worker), fault)) {
    return { kBadRequest, { { "message", "unknown fault or worker" } } };
  }
  return { kOk, { { "fault", BackendFaultName(fault) } } };
}

BackendServer::ControlResponse
BackendServer::HandleControl(MHD_Connection* aConnection, const std::string& aPath)
{
  if (aPath == "/record") {
    return ListRuns(aConnection);
  }
  if (aPath == "/workers") {
    return ListWorkers();
  }
  if (aPath == "/faults") {
    return HandleFault(aConnection);
  }
  if (aPath == "/healthz") {
    return { kOk, { { "status", "ok" } } };
  }
  return { kNotFound, { { "message", "unknown path" } } };
}

MHD_Result
BackendServer::OnAccess(void* aSelf,
                        MHD_Connection* aConnection,
                        const char* aUrl,
                        const char*,
                        const char*,
                        const char*,
                        size_t* aDataSize,
                        void** aSeen)
{
  if (!*aSeen) {
    *aSeen = aSelf; // The next call follows when the request has been read.
    return MHD_YES;
  }
  if (*aDataSize > 0) {
    *aDataSize = 0;
    return MHD_YES;
  }
  const ControlResponse answer =
    static_cast<BackendServer*>(aSelf)->HandleControl(aConnection, aUrl);
  std::string text = answer.body_.dump();
  MHD_Response* response =
    MHD_create_response_from_buffer(text.size(), text.data(), MHD_RESPMEM_MUST_COPY);
  MHD_add_response_header(response, "Content-Type", "application/json");
  const MHD_Result result = MHD_queue_response(aConnection, answer.status_, response);
  MHD_destroy_response(response);
  return result;
}

}
