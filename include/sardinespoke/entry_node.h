#pragma once

#include "sardinespoke/admin_server.h"
#include "sardinespoke/caller_codec.h"
#include "sardinespoke/http_multi.h"
#include "sardinespoke/intake_budget.h"
#include "sardinespoke/job_control.h"
#include "sardinespoke/metrics.h"
#include "sardinespoke/nng_peer_link.h"

#include <atomic>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>

namespace sardinespoke {

/// Settings of an EntryNode.
struct EntryNodeSettings
{
  Endpoint caller_;     ///< Where callers connect.
  Endpoint health_;     ///< Health check and metrics.
  IntakeLimits intake_; ///< Of both.
  LeadershipSettings leadership_;
  JobControlSettings control_;
  std::chrono::milliseconds stopGrace_{ 3500 }; ///< Time of normal service after a stop signal.
  /// After stopGrace_: limit for completing the requests in flight.
  std::chrono::milliseconds stopDrainTimeout_{ 1500 };
  std::chrono::milliseconds pauseThreshold_{ 300 }; ///< A longer gap in the loop counts as a pause.
};

/// An entry host: accepts callers' requests and forwards them to the leader, the elected entry host
/// that controls the pools.
///
/// Threads: those of the HTTP server (one for each connection, blocked until the response), those
/// of the peer link, one that checks that the leader is reachable, and the control thread, which
/// alone accesses jobs, backend servers and the store.
class EntryNode
{
public:
  EntryNode(EntryNodeSettings aSettings,
            HttpMulti& aHttp,
            RecordStoreI& aStore,
            BackendCommandsI& aCommands,
            const FleetFormatI& aFormat,
            const CallerCodecI& aCodec,
            const ClockI& aClock);
  ~EntryNode();

  /// Starts the servers and the control thread. Errors: ConfigError, PeerError.
  leaf::result<void> Init();

  /// Stops gracefully: fails the health check, gives up leadership and completes the requests in
  /// flight. Later requests are refused until the process exits.
  void Shutdown();

private:
  using ReplyCallback = std::function<void(const CallerReply&)>;
  struct Request
  {
    CallerCall call_;
    ReplyCallback reply_;
    TimePoint receivedAt_{};
  };

  /// Outcome of one call to the leader about a caller's request.
  struct LeaderAnswer
  {
    std::optional<CallerReply> reply_{};
    bool mayHaveReached_ = false; ///< Without a reply: the leader may have handled the request.
  };

  void RunControlLoop();
  void HandleQueuedRequests();
  void FollowLeadership();
  void LogLoad();
  /// Logs that clients were cut off since the last report.
  void LogIntake();
  void HandleRequest(const Request& aRequest);
  CallerReply HandleLocally(const CallerCall& aCall);
  CallerReply ForwardToLeader(const CallerCall& aCall);
  LeaderAnswer AskLeader(const std::string& aLeader, const CallerCall& aCall);
  void HandlePeerCall(const nlohmann::json& aMessage, const NngPeerLink::Reply& aReply);
  void Enqueue(Request aRequest);
  void PingLeader();
  AdminResponse HandleCallerRequest(const AdminRequest& aRequest);
  AdminResponse HealthResponse() const;
  std::string LeaderAddress() const;
  int64_t MillisecondsSince(TimePoint aBegin) const;

  const EntryNodeSettings settings_;
  HttpMulti& http_;
  RecordStoreI& store_;
  BackendCommandsI& commands_;
  const FleetFormatI& format_;
  const CallerCodecI& codec_;
  const ClockI& clock_;
  Metrics metrics_;
  NngPeerLink peers_;
  IntakeBudget intake_;
  IntakeCounters loggedIntake_; ///< As of the last report.
  TimePoint loadReportedAt_{};
  AdminServer callerServer_;
  AdminServer healthServer_;
  std::unique_ptr<Leadership> leadership_;
  std::unique_ptr<JobControl> control_;
  std::thread loop_;
  std::thread ping_;
  std::atomic<bool> stopping_{ false };
  std::atomic<bool> refusesNewRequests_{ false }; ///< Requests in flight are still completed.
  std::atomic<bool> exiting_{ false };
  std::atomic<bool> localLeaderReady_{ false }; ///< This host is the leader and serves.
  std::atomic<bool> remoteLeaderReady_{ false };
  std::atomic<bool> leaderUnresponsive_{ false }; ///< Two pings in a row failed.
  std::atomic<uint32_t> inFlight_{ 0 };
  std::atomic<TimePoint> lastReplyAt_{ TimePoint{} }; ///< When the last response was sent.
  /// Guards requests_, queuedBytes_ and leaderAddress_.
  mutable std::mutex mutex_;
  std::deque<Request> requests_;
  uint64_t queuedBytes_ = 0; ///< Of their bodies.
  std::string leaderAddress_;
};

}
