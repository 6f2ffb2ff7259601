#include "platform_server.h"

#include "platform_routes.h"

#include <ulfius.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace sardinespoke {

namespace {

constexpr uint32_t kLoopbackNet = 127; // Only addresses in 127.0.0.0/8 are allowed.
constexpr int kBacklog = 128;
constexpr uint64_t kBrokenBodyBytes = 1; // Announced in Content-Length, but never sent.

ssize_t
BreakStream(void*, uint64_t, char*, size_t)
{
  return U_STREAM_ERROR;
}

std::map<std::string, std::string>
ReadMap(const _u_map* aMap)
{
  std::map<std::string, std::string> result;
  for (int index = 0; index < aMap->nb_values; ++index) {
    result[aMap->keys[index]] = aMap->values[index];
  }
  return result;
}

int
Serve(const _u_request* aRequest, _u_response* aResponse, void* aRoutes)
{
  PlatformRequest request;
  request.method_ = aRequest->http_verb;
  char* path = ulfius_url_decode(aRequest->url_path); // Unlike map_url, url_path is not decoded.
  request.path_ = path == nullptr ? "" : path;
  u_free(path);
  request.query_ = ReadMap(aRequest->map_url);
  const char* client = u_map_get_case(aRequest->map_header, "Sardinespoke-Client");
  request.client_ = client == nullptr ? "" : client;
  request.body_.assign(static_cast<const char*>(aRequest->binary_body),
                       aRequest->binary_body_length);
  const PlatformReply reply = static_cast<PlatformRoutes*>(aRoutes)->Handle(request);
  if (reply.dropped_) {
    ulfius_set_stream_response(
      aResponse, 200, &BreakStream, nullptr, kBrokenBodyBytes, kBrokenBodyBytes, nullptr);
    return U_CALLBACK_COMPLETE;
  }
  ulfius_set_binary_body_response(aResponse, reply.status_, reply.body_.data(), reply.body_.size());
  u_map_put(aResponse->map_header, "Content-Type", "application/json");
  return U_CALLBACK_COMPLETE;
}

/// Opens a listening socket and stores the bound port in aAddress.
/// @returns The socket, or -1 on failure.
int
Listen(sockaddr_in& aAddress)
{
  const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  socklen_t length = sizeof(aAddress);
  auto* address = reinterpret_cast<sockaddr*>(&aAddress);
  if (::bind(listener, address, length) != 0 || ::listen(listener, kBacklog) != 0 ||
      ::getsockname(listener, address, &length) != 0) {
    ::close(listener);
    return -1;
  }
  return listener;
}

}

struct PlatformServer::Impl
{
  explicit Impl(MemoryPlatform& aPlatform)
    : platform_(aPlatform)
    , routes_(aPlatform)
  {
  }

  MemoryPlatform& platform_;
  PlatformRoutes routes_;
  _u_instance instance_{};
  bool running_ = false;
};

PlatformServer::PlatformServer(MemoryPlatform& aPlatform)
  : impl_(std::make_unique<Impl>(aPlatform))
{
}

PlatformServer::~PlatformServer()
{
  Shutdown();
}

bool
PlatformServer::Init(const std::string& aAddress, uint16_t aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aPort);
  if (inet_pton(AF_INET, aAddress.c_str(), &address.sin_addr) != 1 ||
      ntohl(address.sin_addr.s_addr) >> 24 != kLoopbackNet) {
    return false;
  }
  const int listener = Listen(address);
  if (listener < 0) {
    return false;
  }
  _u_instance& instance = impl_->instance_;
  if (ulfius_init_instance(&instance, ntohs(address.sin_port), &address, nullptr) != U_OK) {
    ::close(listener);
    return false;
  }
  instance.allowed_post_processor = U_POST_PROCESS_NONE;
  ulfius_set_default_endpoint(&instance, &Serve, &impl_->routes_);
  MHD_OptionItem options[] = {
    { MHD_OPTION_NOTIFY_COMPLETED, reinterpret_cast<intptr_t>(&mhd_request_completed), nullptr },
    { MHD_OPTION_URI_LOG_CALLBACK, reinterpret_cast<intptr_t>(&ulfius_uri_logger), nullptr },
    { MHD_OPTION_LISTEN_SOCKET, listener, nullptr },
    { MHD_OPTION_END, 0, nullptr },
  };
  const unsigned int flags = MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD;
  impl_->running_ = ulfius_start_framework_with_mhd_options(&instance, flags, options) == U_OK;
  if (!impl_->running_) {
    ulfius_clean_instance(&instance);
    ::close(listener);
  }
  return impl_->running_;
}

void
PlatformServer::Shutdown()
{
  if (!impl_->running_) {
    return;
  }
  impl_->running_ = false;
  impl_->platform_.Stop();
  ulfius_stop_framework(&impl_->instance_);
  ulfius_clean_instance(&impl_->instance_);
}

uint16_t
PlatformServer::Port() const
{
  return impl_->running_ ? static_cast<uint16_t>(impl_->instance_.port) : 0;
}

}
