#include "raw_server.h"
#include "listen_address_p.h"

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <cstdlib>

namespace sardinespoke {

namespace {

constexpr int kPollMs = 5;
constexpr int kLimitMs = 10000;

/// @returns Length of the first complete message in the buffer, or 0. The body length is taken from
/// Content-Length.
size_t
CompleteMessageLength(const std::string& aBuffer)
{
  const size_t end = aBuffer.find("\r\n\r\n");
  if (end == std::string::npos) {
    return 0;
  }
  const size_t field = aBuffer.find("Content-Length: ");
  const size_t body =
    field < end ? std::strtoul(aBuffer.c_str() + field + 16, nullptr, 10) : size_t{ 0 };
  const size_t length = end + 4 + body;
  return aBuffer.size() >= length ? length : 0;
}

void
SendAll(int aSocket, const std::string& aBytes)
{
  size_t sent = 0;
  while (sent < aBytes.size()) {
    const ssize_t count = send(aSocket, aBytes.data() + sent, aBytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return;
    }
    sent += static_cast<size_t>(count);
  }
}

bool
Readable(int aSocket, int aTimeoutMs)
{
  pollfd entry{ aSocket, POLLIN, 0 };
  return poll(&entry, 1, aTimeoutMs) > 0;
}

}

RawServer::RawServer(Script aScript)
  : script_(std::move(aScript))
  , listener_(socket(AF_INET, SOCK_STREAM, 0))
{
  sockaddr_in address = *ParseListenAddress("127.0.0.1:0");
  socklen_t size = sizeof(address);
  if (bind(listener_, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
      listen(listener_, 16) != 0 ||
      getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
    std::abort();
  }
  port_ = ntohs(address.sin_port);
  acceptor_ = std::thread([this] { Accept(); });
}

RawServer::~RawServer()
{
  stop_ = true;
  acceptor_.join();
  for (std::thread& thread : threads_) {
    thread.join();
  }
  close(listener_);
}

std::string
RawServer::Address() const
{
  return "127.0.0.1:" + std::to_string(port_);
}

std::vector<std::string>
RawServer::Requests() const
{
  const std::lock_guard lock(mutex_);
  return requests_;
}

void
RawServer::Accept()
{
  while (!stop_) {
    if (!Readable(listener_, kPollMs)) {
      continue;
    }
    const int accepted = accept(listener_, nullptr, nullptr);
    ++connections_;
    threads_.emplace_back([this, accepted] { Serve(accepted); });
  }
}

void
RawServer::WaitWhile(const std::function<bool()>& aCondition) const
{
  while (!stop_ && aCondition && aCondition()) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
}

void
RawServer::Serve(int aSocket)
{
  std::string buffer;
  char chunk[4096];
  while (!stop_) {
    const size_t length = CompleteMessageLength(buffer);
    if (length == 0) {
      if (!Readable(aSocket, kPollMs)) {
        continue;
      }
      const ssize_t count = recv(aSocket, chunk, sizeof(chunk), 0);
      if (count <= 0) {
        break;
      }
      buffer.append(chunk, static_cast<size_t>(count));
      continue;
    }
    const std::string request = buffer.substr(0, length);
    buffer.erase(0, length);
    size_t index = 0;
    {
      const std::lock_guard lock(mutex_);
      index = requests_.size();
      requests_.push_back(request);
    }
    const RawReply reply = script_(request, index);
    WaitWhile(reply.holdWhile_);
    SendAll(aSocket, reply.bytes_);
    if (!reply.extra_.empty()) {
      WaitWhile(reply.extraWhile_);
      SendAll(aSocket, reply.extra_);
      ++extrasSent_;
    }
    if (reply.close_) {
      break;
    }
  }
  close(aSocket);
}

std::string
RawResponse(const std::string& aBody, const std::string& aHeaders)
{
  return "HTTP/1.1 200 OK\r\n" + aHeaders + "Content-Length: " + std::to_string(aBody.size()) +
         "\r\n\r\n" + aBody;
}

int
RawConnect(const std::string& aAddress)
{
  const int opened = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address = *ParseListenAddress(aAddress);
  if (connect(opened, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0) {
    std::abort();
  }
  return opened;
}

std::string
RawCall(const std::string& aAddress, const std::string& aBytes)
{
  const int opened = RawConnect(aAddress);
  SendAll(opened, aBytes);
  std::string buffer;
  char chunk[4096];
  while (CompleteMessageLength(buffer) == 0 && Readable(opened, kLimitMs)) {
    const ssize_t count = recv(opened, chunk, sizeof(chunk), 0);
    if (count <= 0) {
      break;
    }
    buffer.append(chunk, static_cast<size_t>(count));
  }
  close(opened);
  return buffer;
}

}
