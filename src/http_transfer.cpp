#include "http_transfer_p.h"

#include "sardinespoke/logging.h"

#include <nlohmann/json.hpp>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cerrno>
#include <cstring>

namespace sardinespoke {

namespace {

// Keep-alive probes close an idle connection that went silent; both in seconds, the shortest that
// TCP takes.
constexpr int kKeepAliveIdleSeconds = 1;
constexpr int kKeepAliveIntervalSeconds = 1;
constexpr int kKeepAliveProbes = 1;
constexpr size_t kMaxResponseBytes = 8U << 20U;

void
EnableKeepAlive(int aSocket)
{
  const auto set = [aSocket](int aLevel, int aOption, int aValue) {
    if (setsockopt(aSocket, aLevel, aOption, &aValue, sizeof(aValue)) != 0) {
      Log(LogLevel::Warn, "http.option_refused", { { "option", aOption }, { "errno", errno } });
    }
  };
  set(SOL_SOCKET, SO_KEEPALIVE, 1);
  set(IPPROTO_TCP, TCP_KEEPIDLE, kKeepAliveIdleSeconds);
  set(IPPROTO_TCP, TCP_KEEPINTVL, kKeepAliveIntervalSeconds);
  set(IPPROTO_TCP, TCP_KEEPCNT, kKeepAliveProbes);
}

}

bool
HttpMulti::Transfer::WasSent() const
{
  long bytes = 0;
  curl_easy_getinfo(easy_, CURLINFO_REQUEST_SIZE, &bytes);
  return bytes > 0;
}

curl_socket_t
HttpMulti::Transfer::OpenSocket(void* aSelf, curlsocktype, curl_sockaddr* aAddress)
{
  auto* self = static_cast<Transfer*>(aSelf);
  if (self->WasSent()) {
    return CURL_SOCKET_BAD; // See OnPreRequest().
  }
  self->owner_->SetDeadline(*self, kConnectTimeout);
  const int type = aAddress->socktype | SOCK_CLOEXEC; // NOLINT(hicpp-signed-bitwise)
  const int opened = socket(aAddress->family, type, aAddress->protocol);
  if (opened >= 0) {
    EnableKeepAlive(opened);
  }
  // libcurl closes a socket that is still connecting without OnClose(); epoll forgot it then.
  self->owner_->sockets_.erase(opened);
  return opened;
}

int
HttpMulti::Transfer::OnPreRequest(void* aSelf, char*, char*, int, int)
{
  // libcurl resends a request over another connection if a persistent one breaks before the
  // response, but the server may already have processed the first.
  auto* self = static_cast<Transfer*>(aSelf);
  if (self->WasSent()) {
    return CURL_PREREQFUNC_ABORT;
  }
  self->sentAt_ = std::chrono::steady_clock::now();
  self->owner_->SetDeadline(*self, self->call_.timeout_);
  return CURL_PREREQFUNC_OK;
}

size_t
HttpMulti::Transfer::Receive(char* aData, size_t aSize, size_t aCount, void* aSelf)
{
  auto* self = static_cast<Transfer*>(aSelf);
  if (self->body_.size() + aSize * aCount > kMaxResponseBytes) {
    return 0;
  }
  self->body_.append(aData, aSize * aCount);
  return aSize * aCount;
}

void
HttpMulti::Transfer::SetOptions()
{
  const auto addHeader = [this](const char* aLine) {
    headers_ = curl_slist_append(headers_, aLine);
  };
  for (const std::string& line : call_.headers_) {
    addHeader(line.c_str());
  }
  addHeader("Expect:");
  addHeader("Accept:");
  const std::string url = "http://" + call_.authority_ + call_.target_;
  curl_easy_setopt(easy_, CURLOPT_URL, url.c_str());
  curl_easy_setopt(easy_, CURLOPT_PATH_AS_IS, 1L);
  curl_easy_setopt(easy_, CURLOPT_PROXY, "");
  curl_easy_setopt(easy_, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy_, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt(easy_, CURLOPT_HTTP_VERSION, long{ CURL_HTTP_VERSION_1_1 });
  curl_easy_setopt(easy_, CURLOPT_OPENSOCKETFUNCTION, &Transfer::OpenSocket);
  curl_easy_setopt(easy_, CURLOPT_OPENSOCKETDATA, this);
  curl_easy_setopt(easy_, CURLOPT_PREREQFUNCTION, &Transfer::OnPreRequest);
  curl_easy_setopt(easy_, CURLOPT_PREREQDATA, this);
  curl_easy_setopt(easy_, CURLOPT_CLOSESOCKETFUNCTION, &HttpMulti::OnClose);
  curl_easy_setopt(easy_, CURLOPT_CLOSESOCKETDATA, owner_);
  curl_easy_setopt(easy_, CURLOPT_WRITEFUNCTION, &Transfer::Receive);
  curl_easy_setopt(easy_, CURLOPT_WRITEDATA, this);
  curl_easy_setopt(easy_, CURLOPT_PRIVATE, this);
  if (std::strcmp(call_.method_, "GET") != 0) {
    addHeader("Content-Type: application/json");
    curl_easy_setopt(easy_, CURLOPT_POST, 1L);
    curl_easy_setopt(easy_, CURLOPT_CUSTOMREQUEST, call_.method_);
    curl_easy_setopt(easy_, CURLOPT_POSTFIELDS, call_.body_.data());
    curl_easy_setopt(
      easy_, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(call_.body_.size()));
  }
  curl_easy_setopt(easy_, CURLOPT_HTTPHEADER, headers_);
}

}
