#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace sardinespoke {

/// An HTTP request.
struct HttpCall
{
  const char* method_ = "GET";
  std::string authority_;            ///< "ip:port".
  std::string target_;               ///< Path and query.
  std::vector<std::string> headers_; ///< "Name: value".
  std::string body_;
  /// From sending to the complete response; connecting has a limit of its own, waiting for a free
  /// connection has none. A response that has arrived by then is read, however late Run() is
  /// called.
  std::chrono::milliseconds timeout_{ 1000 };
  uint32_t maxConnections_ = 3; ///< To this authority; further calls are queued.
  /// Its response is read before those of other calls, however many are ready.
  bool urgent_ = false;
  bool first_ = false; ///< Goes ahead of the calls that are queued for its authority.
  /// If it times out, the idle connections on which no data was waited for and came since it was
  /// sent are closed: they may have gone silent with the one that it used.
  bool closeIdleOnTimeout_ = false;
};

/// How a call ended.
enum class HttpOutcome
{
  Answered, ///< The response is complete.
  NotSent,  ///< No byte of the request was sent.
  Unknown,  ///< Sent, but without a complete response.
  Count
};

struct HttpReply
{
  HttpOutcome outcome_ = HttpOutcome::Unknown;
  long status_ = 0;
  std::string body_;
};

/// HTTP client for many concurrent calls on one thread, based on libcurl's multi interface and
/// epoll, with persistent connections. A request of which a byte was sent is not sent again,
/// neither on a new connection nor on a kept one. The cost of Run() depends on the number of ready
/// sockets, not of pending calls or open connections.
class HttpMulti
{
public:
  using Done = std::function<void(const HttpReply&)>;

  HttpMulti();
  ~HttpMulti();
  HttpMulti(const HttpMulti&) = delete;
  HttpMulti& operator=(const HttpMulti&) = delete;

  /// Sends a call. The callback runs exactly once, in Run().
  void Send(HttpCall aCall, Done aDone);

  /// Transfers data and runs callbacks, of urgent calls also between others; waits at most aWait
  /// for the first event. Not to be called from a callback.
  void Run(std::chrono::milliseconds aWait);

  /// What Run() has done since the last call of TakeLoad().
  struct Load
  {
    std::chrono::nanoseconds busy_{ 0 };       ///< Without the wait for events.
    std::chrono::nanoseconds callbacks_{ 0 };  ///< Part of it.
    std::chrono::nanoseconds longestRun_{ 0 }; ///< Of one Run(), without the wait for events.
    uint64_t calls_ = 0;                       ///< Calls that have ended.
  };
  Load TakeLoad() { return std::exchange(load_, Load{}); }

  /// @returns Connections in use or kept.
  size_t Connections() const { return sockets_.size(); }

  /// Wakes up Run(). The only thread-safe method.
  void Wake();

private:
  struct Transfer;
  struct AuthorityQueue;
  /// A libcurl multi handle. Its calls cost time in proportion to its connections, and those to
  /// remove closed ones grow with the square, so that authorities are spread over many.
  struct Shard;

  Shard& ShardOf(const std::string& aAuthority);

  void StartTransfer(std::unique_ptr<Transfer> aTransfer);
  void FinishTransfer(Transfer& aTransfer, int aCode);
  void StartNextTransfer(const std::string& aAuthority);
  /// Sets when a call is due to end without a response.
  void SetDeadline(Transfer& aTransfer, std::chrono::milliseconds aFromNow);
  /// Reads what has arrived for calls that are due.
  void ReadDueTransfers(std::chrono::steady_clock::time_point aNow);
  void FinishCompletedTransfers();
  void EndDueTransfers(std::chrono::steady_clock::time_point aNow);
  /// Closes idle connections to an authority over which nothing was heard since then.
  void CloseIdle(const std::string& aAuthority,
                 std::chrono::steady_clock::time_point aNotHeardSince);
  /// @returns Time until libcurl's timer or the first deadline of a call; at most aWait.
  std::chrono::milliseconds TimeUntilDue(std::chrono::milliseconds aWait) const;
  /// Time until the first timer of libcurl; empty if there is none.
  std::optional<std::chrono::milliseconds> TimeUntilTimer() const;
  void ProcessSockets(std::chrono::milliseconds aWait);
  void ProcessUrgentSockets();
  /// Reads urgent responses, runs the callbacks of completed calls and sends new calls.
  void ServeUrgentCalls();
  void ProcessSocket(int aSocket, uint32_t aEvents);
  /// Lets libcurl handle an event of a shard.
  void RunShard(Shard& aShard, int aSocket, int aEvents);
  /// @returns True if a timeout of libcurl was due.
  bool ProcessTimers();
  static int OnSocket(void* aEasy, int aSocket, int aWhat, void* aShard, void* aKnown);
  static int OnTimer(void* aMulti, long aMilliseconds, void* aShard);
  static int OnClose(void* aSelf, int aSocket);
  void WatchSocket(int aSocket, uint32_t aEvents, bool aUrgent);

  int epollFd_ = -1;
  int urgentEpollFd_ = -1; ///< Sockets of urgent calls; itself a member of epollFd_.
  int wakeFd_ = -1;
  /// A socket in the epoll set. An idle persistent connection stays registered.
  struct SocketState
  {
    Shard* shard_ = nullptr;
    uint32_t registered_ = 0;                         ///< Events registered with epoll.
    bool inUse_ = false;                              ///< libcurl waits for this socket.
    bool urgent_ = false;                             ///< Registered with urgentEpollFd_.
    std::string authority_;                           ///< Of the last call over it.
    std::chrono::steady_clock::time_point heardAt_{}; ///< When data last arrived.
  };
  std::unordered_map<int, SocketState> sockets_;
  Load load_;
  std::vector<std::unique_ptr<Shard>> shards_;
  /// When timeouts of libcurl are due.
  std::set<std::pair<std::chrono::steady_clock::time_point, Shard*>> timers_;
  std::vector<Shard*> ranShards_; ///< Those that may have completed transfers.
  std::map<Transfer*, std::unique_ptr<Transfer>> active_;
  std::set<std::pair<std::chrono::steady_clock::time_point, Transfer*>> deadlines_;
  std::map<std::string, AuthorityQueue> authorityQueues_;
  std::vector<void*> idleHandles_;
};

}
