#pragma once

#include "delay_timer.h"
#include "run_record.h"

#include <microhttpd.h>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <memory>
#include <mutex>
#include <set>
#include <string>

namespace sardinespoke {

/// Fault injected into a stand-in worker.
enum class BackendFault
{
  None,
  FailAll,          ///< Runs every request and responds with status 500.
  CloseAfterActing, ///< Runs the request and closes the connection without a response.
  ShortBody,        ///< Closes the connection after half of the body.
  LateAnswer,       ///< Responds kLateResponseDelay after the run has ended.
  OutOfOrder,       ///< Delays every other response, so that later requests are answered first.
  MixedUp,          ///< Sends the response to the previous request.
  Down,             ///< Does not listen; running requests are aborted.
  WrongBody,        ///< As MixedUp, but with the attempt id of the current request, so that an
                    ///< entry host cannot detect it. A mutant that only the check of response
                    ///< bodies finds.
  Count
};

/// @returns The name of a fault, such as "none", "fail-all" or "close-after-acting".
const char*
BackendFaultName(BackendFault aFault);

/// @returns The fault with the given name, or BackendFault::Count if there is none.
BackendFault
ParseBackendFault(const std::string& aName);

/// Size and address of a stand-in worker.
struct BackendWorkerSettings
{
  std::string ip_ = "127.0.0.1";
  uint16_t port_ = 0; ///< 0 picks a free port.
  uint32_t number_ = 0;
  uint32_t slots_ = 8;
  uint32_t connections_ = 64;
};

/// A backend server with a fixed number of slots.
///
/// Requests: `ANY /<path>?ms=RUN_TIME&bytes=RESPONSE_LENGTH&nonce=N&fail=STATUS`. The path
/// "/always-fails" is a kind of work that fails on every worker with status 500. A run continues
/// after its caller has disconnected. One epoll thread of libmicrohttpd serves all connections of a
/// worker; waiting requests are suspended, so that 50 workers need 50 threads instead of 3,200.
class BackendWorker
{
public:
  static constexpr std::chrono::milliseconds kLateResponseDelay{ 1500 };
  static constexpr std::chrono::milliseconds kReorderDelay{ 30 };

  BackendWorker(BackendWorkerSettings aSettings, RunRecord& aRecord, DelayTimer& aTimer);
  ~BackendWorker();
  BackendWorker(const BackendWorker&) = delete;
  BackendWorker& operator=(const BackendWorker&) = delete;

  /// @returns Whether the worker listens.
  bool Start();
  void Stop();

  void SetFault(BackendFault aFault);

  std::string Address() const;
  uint64_t Connections() const { return opened_; }
  uint64_t Refused() const { return refused_; }

private:
  /// One request, from its headers to the end of its response.
  struct Exchange
  {
    MHD_Connection* connection_ = nullptr;
    RunEntry run_;
    size_t runIndex_ = 0;
    size_t bytes_ = 0;
    BackendFault fault_ = BackendFault::None;
    bool started_ = false;
    uint64_t incarnation_ = 0; ///< Incarnation of the worker in which the run began.
    bool headersRead_ = false;
    bool aborted_ = false;
    std::string body_;
  };
  using ExchangeRef = std::shared_ptr<Exchange>;

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

  MHD_Result Begin(const ExchangeRef& aExchange, const std::string& aPath);
  void Schedule(const ExchangeRef& aExchange, std::chrono::milliseconds aRunTime);
  void EndRun(const ExchangeRef& aExchange);
  void Resume(const ExchangeRef& aExchange);
  MHD_Result Respond(Exchange& aExchange);
  MHD_Result RejectNoFreeSlot(Exchange& aExchange);

  BackendWorkerSettings settings_;
  RunRecord& record_;
  DelayTimer& timer_;
  MHD_Daemon* daemon_ = nullptr;
  std::atomic<uint64_t> opened_{ 0 };
  std::atomic<uint64_t> refused_{ 0 };

  std::mutex mutex_;
  BackendFault fault_ = BackendFault::None;
  bool stopping_ = false;
  uint32_t running_ = 0;
  uint64_t runsStarted_ = 0;
  uint64_t incarnation_ = 0;
  std::set<ExchangeRef> suspended_;
  RunEntry previous_; ///< Previous request, for MixedUp and WrongBody.
};

}
