#include "silencing_proxy.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <system_error>

namespace sardinespoke {

namespace {

constexpr int kBacklog = 64;
constexpr int kPollMs = 5; // Maximum delay until stopping_ is noticed.
constexpr size_t kBufferBytes = 65536;

sockaddr_in
LoopbackAddress(uint16_t aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(aPort);
  return address;
}

}

SilencingProxy::SilencingProxy(std::string aTarget)
  : target_(std::move(aTarget))
  , listener_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
  sockaddr_in address = LoopbackAddress(0);
  socklen_t length = sizeof(address);
  auto* generic = reinterpret_cast<sockaddr*>(&address);
  if (::bind(listener_, generic, length) != 0 || ::listen(listener_, kBacklog) != 0 ||
      ::getsockname(listener_, generic, &length) != 0) {
    throw std::system_error(errno, std::generic_category(), "silencing proxy");
  }
  port_ = ntohs(address.sin_port);
  thread_ = std::thread([this] { Run(); });
}

SilencingProxy::~SilencingProxy()
{
  stopping_ = true;
  thread_.join();
  for (const Pair& pair : pairs_) {
    ::close(pair.client_);
    ::close(pair.server_);
  }
  ::close(listener_);
}

void
SilencingProxy::Silence(SilentDirection aDirection)
{
  const std::lock_guard lock(mutex_);
  for (Pair& pair : pairs_) {
    pair.dropsRequests_ = pair.dropsRequests_ || aDirection != SilentDirection::Replies;
    pair.dropsReplies_ = pair.dropsReplies_ || aDirection != SilentDirection::Requests;
  }
}

void
SilencingProxy::AcceptClient()
{
  Pair pair;
  pair.client_ = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
  pair.server_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const size_t colon = target_.rfind(':');
  const auto port = static_cast<uint16_t>(std::stoul(target_.substr(colon + 1)));
  sockaddr_in address = LoopbackAddress(port);
  auto* generic = reinterpret_cast<sockaddr*>(&address);
  if (pair.client_ < 0 || ::connect(pair.server_, generic, sizeof(address)) != 0) {
    ::close(pair.client_);
    ::close(pair.server_);
    return;
  }
  ++connections_;
  const std::lock_guard lock(mutex_);
  pairs_.push_back(pair);
}

bool
SilencingProxy::Forward(int aFrom, int aTo, bool aDrop)
{
  std::array<char, kBufferBytes> buffer{};
  const ssize_t count = ::recv(aFrom, buffer.data(), buffer.size(), MSG_DONTWAIT);
  if (count < 0) {
    return errno == EAGAIN || errno == EWOULDBLOCK;
  }
  if (count > 0 && !aDrop) {
    ::send(aTo, buffer.data(), static_cast<size_t>(count), MSG_NOSIGNAL);
  }
  return count > 0;
}

void
SilencingProxy::Run()
{
  while (!stopping_) {
    pollfd waiting{ listener_, POLLIN, 0 };
    if (::poll(&waiting, 1, kPollMs) > 0) {
      AcceptClient();
    }
    const std::lock_guard lock(mutex_);
    for (Pair& pair : pairs_) {
      if (!pair.isOpen_) {
        continue;
      }
      const bool clientOpen = Forward(pair.client_, pair.server_, pair.dropsRequests_);
      const bool serverOpen = Forward(pair.server_, pair.client_, pair.dropsReplies_);
      if (clientOpen && serverOpen) {
        continue;
      }
      // The other end of a silent connection hears nothing of this either.
      pair.isOpen_ = false;
      if (!pair.dropsRequests_ && !pair.dropsReplies_) {
        ::shutdown(pair.client_, SHUT_RDWR);
        ::shutdown(pair.server_, SHUT_RDWR);
      }
    }
  }
}

}
