#pragma once

#include "sardinespoke/clock.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>

namespace sardinespoke {

/// What a process takes from clients at a time. The defaults are above what a client sends that
/// keeps to the limits of a deployment's configuration: a body of 256 KiB, a head of 16 KiB that is
/// complete within 3 s, and 15 s between two requests.
struct IntakeLimits
{
  /// Bytes of all unfinished requests, requests in work and unread responses.
  uint64_t budgetBytes_ = 64U << 20U;
  /// Percent of the budget that one client address may hold while the budget is used up.
  uint32_t addressPercent_ = 50;
  uint32_t maxConnections_ = 1000;
  uint64_t maxBodyBytes_ = 1U << 20U;
  uint32_t maxHeaderFields_ = 256;
  uint32_t maxHeadBytes_ = 64U << 10U; ///< With what libmicrohttpd needs to parse them.
  /// Until the next request's head is complete, from the last response or the connection on.
  std::chrono::milliseconds headTimeout_{ 30000 };
  /// Without any byte in either direction.
  std::chrono::milliseconds idleTimeout_{ 20000 };
  /// Time for a body or a response beside that of its bytes at the least rate.
  std::chrono::milliseconds transferTimeout_{ 10000 };
  uint32_t leastBytesPerSecond_ = 1000; ///< Of a body and of a response.

  bool operator==(const IntakeLimits& aOther) const = default;
};

struct IntakeCounters
{
  uint64_t bytes_ = 0;
  uint64_t connections_ = 0;
  uint64_t closedForBytes_ = 0;       ///< Since the start, because the budget was used up.
  uint64_t closedForConnections_ = 0; ///< Since the start, because there were too many.
  uint64_t closedForTime_ = 0;        ///< Since the start, because they were too slow.
  uint64_t refused_ = 0;              ///< Requests that found no budget, since the start.
};

/// Bounds the memory and the connections that clients occupy in a process, over all its listeners.
///
/// Load pattern: crowds of clients send large bodies and stop just short of their end, send or read
/// very slowly, or do not read at all. When the budget is used up, the request that has made no
/// progress for the longest time is closed first, of an address that holds more than its share if
/// there is one. Idle connections come after all unfinished requests. A request in work is never
/// closed. Safe to use from several threads.
class IntakeBudget
{
public:
  using ConnectionId = uint64_t;

  /// Ends a connection from outside of its thread. Must not call back.
  using Closer = std::function<void()>;

  IntakeBudget(IntakeLimits aLimits, const ClockI& aClock);

  const IntakeLimits& Limits() const { return limits_; }

  /// Counts a new connection. Closes those whose clients are slower than the limits allow, and
  /// another one if there are too many.
  ConnectionId Open(const std::string& aAddress, Closer aClose);

  /// Call when a connection has ended, before its descriptor may be used anew.
  void Close(ConnectionId aConnection);

  /// Counts bytes of an unfinished request that were received.
  /// @returns False if they are beyond the budget: the connection must be closed.
  bool Receive(ConnectionId aConnection, uint64_t aBytes);

  /// Begins the work on a whole request.
  /// @param aBytes Memory that it needs meanwhile.
  /// @returns False if that is beyond the budget: the request must be refused.
  bool BeginWork(ConnectionId aConnection, uint64_t aBytes);

  /// Counts a response from now until EndRequest().
  void BeginResponse(ConnectionId aConnection, uint64_t aBytes);

  /// Call when a request has ended, with or without a response.
  void EndRequest(ConnectionId aConnection);

  IntakeCounters Counters() const;

private:
  enum class Phase
  {
    Idle, ///< Between two requests, or in the head of the next one.
    Body,
    Work,
    Response,
    Count
  };

  struct Connection
  {
    std::string address_;
    Closer close_;
    Phase phase_ = Phase::Idle;
    uint64_t bytes_ = 0;
    TimePoint phaseBegin_{};
    TimePoint progressAt_{};
    bool isClosing_ = false; ///< It was told to close and will end soon.
  };

  using Connections = std::map<ConnectionId, Connection>;

  void SetBytes(Connection& aConnection, uint64_t aBytes);
  void SetPhase(Connection& aConnection, Phase aPhase);
  /// Closes others until so many bytes are left.
  /// @returns False if closing all others would not suffice, or if the connection itself has made
  /// no progress for the longest time.
  bool MakeRoom(ConnectionId aFor, uint64_t aBytes);
  /// @returns The connection to close next; the end if there is none.
  Connections::iterator FindVictim();
  void Shut(Connection& aConnection);
  void CloseOverdue();
  bool IsOverdue(const Connection& aConnection, TimePoint aNow) const;

  const IntakeLimits limits_;
  /// Of a connection without a body. libmicrohttpd writes to its whole buffer for a head when it
  /// ends a request, and keeps it while the connection is idle.
  const uint64_t connectionBytes_;
  const ClockI& clock_;
  mutable std::mutex mutex_;
  Connections connections_;
  std::map<std::string, uint64_t> bytesOf_; ///< By client address.
  ConnectionId nextId_ = 1;
  uint32_t closing_ = 0; ///< Connections with isClosing_.
  IntakeCounters counters_;
};

}
