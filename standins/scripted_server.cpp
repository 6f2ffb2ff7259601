#include "scripted_server.h"

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

constexpr int kBacklog = 8;
constexpr int kPollMs = 20; // Maximum delay until stopping_ is noticed.
constexpr size_t kMaxRequestBytes = 65536;

bool
IsReadable(int aSocket)
{
  pollfd entry{ aSocket, POLLIN, 0 };
  return ::poll(&entry, 1, kPollMs) > 0;
}

}

ScriptedServer::ScriptedServer(std::vector<std::string> aReplies)
  : replies_(std::move(aReplies))
  , listener_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t length = sizeof(address);
  auto* generic = reinterpret_cast<sockaddr*>(&address);
  if (::bind(listener_, generic, length) != 0 || ::listen(listener_, kBacklog) != 0 ||
      ::getsockname(listener_, generic, &length) != 0) {
    throw std::system_error(errno, std::generic_category(), "scripted server");
  }
  port_ = ntohs(address.sin_port);
  thread_ = std::thread([this] { Run(); });
}

ScriptedServer::~ScriptedServer()
{
  stopping_ = true;
  thread_.join();
  ::close(listener_);
}

std::string
ScriptedServer::Reply(int aStatus, const std::string& aBody)
{
  return "HTTP/1.1 " + std::to_string(aStatus) +
         " Status\r\nContent-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

std::string
ScriptedServer::Url() const
{
  return "http://127.0.0.1:" + std::to_string(port_);
}

void
ScriptedServer::Run()
{
  while (!stopping_) {
    if (!IsReadable(listener_)) {
      continue;
    }
    const int connection = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    ServeConnection(connection);
    ::close(connection);
  }
}

void
ScriptedServer::ServeConnection(int aConnection)
{
  std::array<char, kMaxRequestBytes> buffer{};
  while (!stopping_) {
    if (!IsReadable(aConnection)) {
      continue;
    }
    if (::recv(aConnection, buffer.data(), buffer.size(), 0) <= 0) {
      return;
    }
    const size_t index = requests_++;
    if (index >= replies_.size() || replies_[index].empty()) {
      return;
    }
    const std::string& reply = replies_[index];
    ::send(aConnection, reply.data(), reply.size(), MSG_NOSIGNAL);
  }
}

}
