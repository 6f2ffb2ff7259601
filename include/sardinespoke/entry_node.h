#pragma once

#include "sardinespoke/admin_server.h"
#include "sardinespoke/caller_codec.h"
#include "sardinespoke/http_multi.h"
#include "sardinespoke/job_control.h"
#include "sardinespoke/metrics.h"
#include "sardinespoke/nng_peer_link.h"

#include <atomic>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>

namespace sardinespoke {

struct EntryNodeSettings
{
  Endpoint caller_; ///< Where callers connect.
  Endpoint health_; ///< Health check and metrics.
  LeadershipSettings leadership_;
  JobControlSettings control_;
  std::chrono::milliseconds stopGrace_{ 3500 }; ///< Serving time after a stop signal.
  /// Longest time after that for the answers to requests that were taken before.
  std::chrono::milliseconds stopDrainTimeout_{ 1500 };
  std::chrono::milliseconds pauseThreshold_{ 300 }; ///< A longer gap of the loop is a suspension.
};

/// One entry host: takes callers' requests and passes them to the owner of the pools, which is one
/// of the entry hosts.
///
/// Threads: the HTTP server's (one a connection, each waits for its answer), the peer link's, one
/// that checks that the owner can be reached, and the control thread, which alone touches jobs,
/// backend servers and the store.
class EntryNode
{
public:
  EntryNode(EntryNodeSettings aSettings,
            HttpMulti& aHttp,
            RecordStoreI& aStore,
            BackendOrdersI& aOrders,
            const FleetFormatI& aFormat,
            const CallerCodecI& aCodec,
            const ClockI& aClock);
  ~EntryNode();

  /// Starts to listen and to take part. Errors: ConfigError, PeerError.
  leaf::result<void> Init();

  /// Leaves: fails the health check, gives up ownership, finishes what is in flight. Requests that
  /// still come in are refused until the process ends.
  void Shutdown();

private:
  using ReplyCallback = std::function<void(const CallerReply&)>;
  struct Request
  {
    CallerCall call_;
    ReplyCallback reply_;
  };

  void Loop();
  void HandleQueuedRequests();
  void FollowLeadership();
  void HandleRequest(const Request& aRequest);
  CallerReply HandleLocally(const CallerCall& aCall);
  CallerReply ForwardToLeader(const CallerCall& aCall);
  void HandlePeerCall(const nlohmann::json& aMessage, const NngPeerLink::Reply& aReply);
  void Enqueue(Request aRequest);
  void PingLeader();
  AdminResponse OnCaller(const AdminRequest& aRequest);
  AdminResponse OnHealth() const;
  std::string LeaderAddress() const;

  const EntryNodeSettings settings_;
  HttpMulti& http_;
  RecordStoreI& store_;
  BackendOrdersI& orders_;
  const FleetFormatI& format_;
  const CallerCodecI& codec_;
  const ClockI& clock_;
  Metrics metrics_;
  NngPeerLink peers_;
  AdminServer callerServer_;
  AdminServer healthServer_;
  std::unique_ptr<Leadership> leadership_;
  std::unique_ptr<JobControl> control_;
  std::thread loop_;
  std::thread ping_;
  std::atomic<bool> stopping_{ false };
  std::atomic<bool> refusesNewRequests_{
    false
  }; ///< New requests are refused; those in flight are finished.
  std::atomic<bool> exiting_{ false };
  std::atomic<bool> localLeaderReady_{ false }; ///< This host owns the pools and serves.
  std::atomic<bool> remoteLeaderReady_{ false };
  std::atomic<bool> leaderUnresponsive_{ false }; ///< It left two pings in a row without an answer.
  std::atomic<uint32_t> inFlight_{ 0 };
  std::atomic<TimePoint> lastReplyAt_{ TimePoint{} }; ///< When the last request was answered.
  mutable std::mutex mutex_;                          ///< Guards requests_ and leaderAddress_.
  std::deque<Request> requests_;
  std::string leaderAddress_;
};

}
