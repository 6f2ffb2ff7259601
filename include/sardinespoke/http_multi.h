#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace sardinespoke {

struct HttpCall
{
  const char* method_ = "GET";
  std::string authority_;            ///< "ip:port".
  std::string target_;               ///< Path and query.
  std::vector<std::string> headers_; ///< "Name: value".
  std::string body_;
  std::chrono::milliseconds timeout_{ 1000 }; ///< From sending to the whole answer.
  uint32_t maxConnections_ = 3;               ///< To this authority; further calls wait their turn.
};

enum class HttpOutcome
{
  Answered,
  NotSent, ///< No byte of the request left.
  Unknown, ///< Sent, but no whole answer.
  Count
};

struct HttpReply
{
  HttpOutcome outcome_ = HttpOutcome::Unknown;
  long status_ = 0;
  std::string body_;
};

/// HTTP client that carries many calls on one thread with kept connections. No call is sent a
/// second time on a new connection. A turn costs only what the sockets that are ready cost, however
/// many calls wait.
class HttpMulti
{
public:
  using Done = std::function<void(const HttpReply&)>;

  HttpMulti();
  ~HttpMulti();
  HttpMulti(const HttpMulti&) = delete;
  HttpMulti& operator=(const HttpMulti&) = delete;

  /// Sends a call; the callback runs in Run(), exactly once.
  void Send(HttpCall aCall, Done aDone);

  /// Moves data and runs callbacks; waits at most aWait for something to do.
  void Run(std::chrono::milliseconds aWait);

  /// Ends the wait of Run(). The only method for other threads.
  void Wake();

private:
  struct Transfer;
  struct AuthorityQueue;

  void StartTransfer(std::unique_ptr<Transfer> aTransfer);
  void FinishTransfer(Transfer& aTransfer, int aCode);
  void StartNextTransfer(const std::string& aAuthority);
  std::chrono::milliseconds TimeUntilTimer() const;
  void ProcessSockets(std::chrono::milliseconds aWait);
  static int OnSocket(void* aEasy, int aSocket, int aWhat, void* aSelf, void* aKnown);
  static int OnTimer(void* aMulti, long aMilliseconds, void* aSelf);
  static int OnClose(void* aSelf, int aSocket);
  void Register(int aSocket, uint32_t aEvents);

  void* multi_;
  int epollFd_ = -1;
  int wakeFd_ = -1;
  /// Sockets that epoll knows. Between two calls a kept connection stays registered.
  struct SocketState
  {
    uint32_t registered_ = 0; ///< Events that epoll reports.
    bool inUse_ = false;      ///< The library waits for this socket.
  };
  std::unordered_map<int, SocketState> sockets_;
  bool hasTimer_ = false;
  std::chrono::steady_clock::time_point timer_{}; ///< When the library wants to be called.
  std::map<Transfer*, std::unique_ptr<Transfer>> active_;
  std::map<std::string, AuthorityQueue> authorityQueues_;
  std::vector<void*> idleHandles_;
};

}
