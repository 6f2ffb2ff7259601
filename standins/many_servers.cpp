#include "many_servers.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <system_error>
#include <vector>

namespace sardinespoke {

namespace {

constexpr int kBacklog = 4096;
constexpr int kPollMs = 20; // Maximum delay until stopping_ is noticed.
constexpr uint32_t kAddressesPerBlock = 250;
constexpr uint32_t kBlock = (127U << 24U) | (77U << 16U); // 127.77.0.0
constexpr char kAnswer[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";

uint32_t
AddressOf(uint32_t aIndex)
{
  return kBlock | (aIndex / kAddressesPerBlock) << 8U | (aIndex % kAddressesPerBlock + 1);
}

uint32_t
IndexOf(uint32_t aAddress)
{
  return (aAddress >> 8U & 0xFFU) * kAddressesPerBlock + (aAddress & 0xFFU) - 1;
}

void
Watch(int aEpoll, int aSocket)
{
  epoll_event event{};
  event.events = EPOLLIN;
  event.data.fd = aSocket;
  epoll_ctl(aEpoll, EPOLL_CTL_ADD, aSocket, &event);
}

}

ManyServers::ManyServers()
  : listener_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0))
  , epollFd_(epoll_create1(EPOLL_CLOEXEC))
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_ANY);
  socklen_t length = sizeof(address);
  auto* generic = reinterpret_cast<sockaddr*>(&address);
  if (bind(listener_, generic, length) != 0 || listen(listener_, kBacklog) != 0 ||
      getsockname(listener_, generic, &length) != 0) {
    throw std::system_error(errno, std::generic_category(), "many servers");
  }
  port_ = ntohs(address.sin_port);
  Watch(epollFd_, listener_);
  thread_ = std::thread([this] { Run(); });
}

ManyServers::~ManyServers()
{
  stopping_ = true;
  thread_.join();
  for (const auto& [connection, index] : indexOf_) {
    close(connection);
  }
  close(epollFd_);
  close(listener_);
}

std::string
ManyServers::Address(uint32_t aIndex) const
{
  const in_addr address{ htonl(AddressOf(aIndex)) };
  std::array<char, INET_ADDRSTRLEN> text{};
  inet_ntop(AF_INET, &address, text.data(), text.size());
  return std::string(text.data()) + ":" + std::to_string(port_);
}

size_t
ManyServers::Connections() const
{
  const std::lock_guard lock(mutex_);
  return indexOf_.size();
}

void
ManyServers::CloseBelow(uint32_t aCount)
{
  const std::lock_guard lock(mutex_);
  std::vector<int> closing;
  for (const auto& [connection, index] : indexOf_) {
    if (index < aCount) {
      closing.push_back(connection);
    }
  }
  for (const int connection : closing) {
    close(connection);
    indexOf_.erase(connection);
  }
}

void
ManyServers::Accept()
{
  sockaddr_in own{};
  socklen_t length = sizeof(own);
  const int connection = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
  if (connection < 0 || getsockname(connection, reinterpret_cast<sockaddr*>(&own), &length) != 0) {
    return;
  }
  const int on = 1;
  setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  indexOf_[connection] = IndexOf(ntohl(own.sin_addr.s_addr));
  Watch(epollFd_, connection);
}

void
ManyServers::Answer(int aConnection)
{
  std::array<char, 65536> buffer{};
  if (recv(aConnection, buffer.data(), buffer.size(), 0) <= 0) {
    close(aConnection);
    indexOf_.erase(aConnection);
    return;
  }
  send(aConnection, kAnswer, sizeof(kAnswer) - 1, MSG_NOSIGNAL);
}

void
ManyServers::Run()
{
  std::array<epoll_event, 256> events{};
  while (!stopping_) {
    const int count = epoll_wait(epollFd_, events.data(), static_cast<int>(events.size()), kPollMs);
    const std::lock_guard lock(mutex_);
    for (int index = 0; index < count; ++index) {
      const int socket = events[static_cast<size_t>(index)].data.fd;
      if (socket == listener_) {
        Accept();
      } else if (indexOf_.count(socket) > 0) {
        Answer(socket);
      }
    }
  }
}

}
