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
  std::chrono::milliseconds stopFinish_{ 1500 };
  std::chrono::milliseconds thawLimit_{ 300 }; ///< A longer gap of the loop is a suspension.
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
            BackendCommandsI& aOrders,
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
  using GiveReply = std::function<void(const CallerReply&)>;
  struct Request
  {
    CallerCall call_;
    GiveReply reply_;
  };

  void Loop();
  void TakeRequests();
  void FollowLeadership();
  void Serve(const Request& aRequest);
  CallerReply Local(const CallerCall& aCall);
  CallerReply Relay(const CallerCall& aCall);
  void OnPeerCall(const nlohmann::json& aMessage, const NngPeerLink::Reply& aReply);
  void Enqueue(Request aRequest);
  void PingOwner();
  AdminResponse OnCaller(const AdminRequest& aRequest);
  AdminResponse OnHealth() const;
  std::string OwnerAddress() const;

  const EntryNodeSettings settings_;
  HttpMulti& http_;
  RecordStoreI& store_;
  BackendCommandsI& commands_;
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
  std::atomic<bool> closed_{ false }; ///< New requests are refused; those in flight are finished.
  std::atomic<bool> ended_{ false };
  std::atomic<bool> ownerReady_{ false }; ///< This host owns the pools and serves.
  std::atomic<bool> ownerReached_{ false };
  std::atomic<bool> ownerSilent_{ false }; ///< It left two pings in a row without an answer.
  std::atomic<uint32_t> inFlight_{ 0 };
  std::atomic<TimePoint> lastCall_{ TimePoint{} }; ///< When the last request was answered.
  mutable std::mutex mutex_;                       ///< Guards requests_ and ownerAddress_.
  std::deque<Request> requests_;
  std::string ownerAddress_;
};

}
