#pragma once

#include "caller_request_p.h"
#include "caller_response_p.h"
#include "hangup_watch_p.h"
#include "request_runner_p.h"
#include "sardinespoke/gateway.h"

#include <microhttpd.h>

#include <array>
#include <atomic>
#include <condition_variable>
#include <mutex>
#include <set>
#include <string>

namespace sardinespoke {

/// The caller-facing HTTP server: one libmicrohttpd thread per connection.
///
/// Uses libmicrohttpd directly, not through ulfius: ulfius keeps one value per header name, which
/// drops repeated headers, and hides the socket, which is needed to detect that a caller has
/// disconnected. Each connection has its own thread, because DispatcherI::Acquire() and
/// BackendLinkI::Send() block.
class Gateway::Impl
{
public:
  Impl(GatewaySettings aSettings,
       const ClockI& aClock,
       DispatcherI& aDispatcher,
       BackendLinkI& aBackends,
       RequestClaimsI& aClaims,
       RetryBudget& aBudget,
       EventLogI& aEvents);
  ~Impl();
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  leaf::result<void> Init();
  void FailHealth();
  void RefuseNewRequests();
  bool WaitIdle(std::chrono::milliseconds aLimit);
  void Shutdown();
  uint16_t Port() const { return port_; }
  GatewayCounters Counters() const;

private:
  /// One request of a caller, from its request line to the end of its response.
  struct Exchange
  {
    RawRequest raw_;
    std::string body_;
    CallerResponse response_; ///< Owns the bytes that libmicrohttpd sends.
    bool headersRead_ = false;
    bool bodyTooLarge_ = false;
    size_t discardedBytes_ = 0; ///< Bytes of an oversized body that were not stored.
  };

  static void* OnRequestLine(void* aSelf, const char* aTarget, MHD_Connection* aConnection);
  static MHD_Result OnAccess(void* aSelf,
                             MHD_Connection* aConnection,
                             const char* aUrl,
                             const char* aMethod,
                             const char* aVersion,
                             const char* aData,
                             size_t* aDataSize,
                             void** aExchange);
  static void OnCompleted(void* aSelf,
                          MHD_Connection* aConnection,
                          void** aExchange,
                          MHD_RequestTerminationCode aCode);
  static void OnConnection(void* aSelf,
                           MHD_Connection* aConnection,
                           void** aContext,
                           MHD_ConnectionNotificationCode aCode);
  static MHD_Result OnHeader(void* aExchange,
                             MHD_ValueKind aKind,
                             const char* aName,
                             size_t aNameSize,
                             const char* aValue,
                             size_t aValueSize);

  MHD_Result Handle(MHD_Connection* aConnection,
                    Exchange& aExchange,
                    const char* aData,
                    size_t* aDataSize);
  MHD_Result HandleHeaders(MHD_Connection* aConnection, Exchange& aExchange);
  MHD_Result HandleBody(Exchange& aExchange, const char* aData, size_t* aDataSize) const;
  CallerResponse HandleRequest(MHD_Connection* aConnection, Exchange& aExchange);
  CallerResponse RunService(MHD_Connection* aConnection, Exchange& aExchange);
  CallerResponse IssueIds(const RawRequest& aRaw);
  CallerResponse HealthResponse() const;
  MHD_Result SendResponse(MHD_Connection* aConnection,
                          Exchange& aExchange,
                          CallerResponse aResponse);
  bool IsHealthCheck(const RawRequest& aRaw) const;
  void Count(Outcome aOutcome);
  int StopListening();
  void WaitForUnusedConnections();
  void CloseConnections();

  const GatewaySettings settings_;
  RequestClaimsI& claims_;
  EventLogI& events_;
  RequestRunner runner_;
  HangupWatch watch_;
  MHD_Daemon* daemon_ = nullptr;
  uint16_t port_ = 0;
  std::atomic<bool> healthFails_{ false };
  std::atomic<bool> refusing_{ false };
  std::atomic<uint64_t> connections_{ 0 };
  std::array<std::atomic<uint64_t>, static_cast<size_t>(Outcome::Count)> outcomes_{};
  mutable std::mutex idleMutex_;
  std::condition_variable idle_;
  uint64_t inFlight_ = 0;
  uint64_t awaitingFirstRequest_ = 0; ///< Connections without a request so far.
  std::set<int> sockets_;             ///< Of the open connections.
  bool closing_ = false;              ///< Connections that are reported from now on are closed.
};

}
