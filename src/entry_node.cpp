#include "sardinespoke/entry_node.h"

#include "sardinespoke/logging.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <future>

namespace sardinespoke {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr char kCallType[] = "job.call";
constexpr char kPingType[] = "owner.ping";
// Bounds the requests that wait for the control thread; further ones are refused at once.
constexpr size_t kMaxWaiting = 1000;
// Callers' requests are replied to later, so that few threads carry any number of them.
constexpr size_t kPeerThreads = 3;
// How long a request waits for an owner to be elected before it is refused.
constexpr milliseconds kOwnerWait{ 400 };
constexpr milliseconds kOwnerPoll{ 25 };
constexpr milliseconds kPingPeriod{ 300 };
constexpr milliseconds kPingLimit{ 400 };
// Longest time for one attempt at the owner; another owner may have been elected by then.
constexpr milliseconds kAttemptLimit{ 600 };
// How long a request that an owner may have taken is tried again at its successor. The caller's own
// retry is answered as well, since a job's id makes it the same job.
constexpr milliseconds kUnknownWait{ 1500 };
constexpr milliseconds kMaxPatience{ 30000 };
constexpr milliseconds kRetryAfter{ 1000 };
constexpr milliseconds kMaxLoopWait{ 100 };
constexpr milliseconds kSettleLimit{ 500 };
constexpr milliseconds kStopPoll{ 20 };
// Requests that are on their way when a host closes are read within this time.
constexpr milliseconds kQuietTime{ 300 };

CallerReply
Refusal(const char* aReason)
{
  CallerReply reply;
  reply.status_ = 503;
  reply.body_ = json{ { "error", aReason } }.dump();
  reply.retryAfter_ = kRetryAfter;
  return reply;
}

CallerReply
UnknownReply(const char* aReason)
{
  CallerReply reply;
  reply.status_ = 504;
  reply.body_ = json{ { "error", aReason } }.dump();
  return reply;
}

json
Encode(const CallerCall& aCall)
{
  return json{ { "type", kCallType },   { "method", aCall.method_ },
               { "host", aCall.host_ }, { "path", aCall.path_ },
               { "body", aCall.body_ }, { "patience_ms", aCall.patience_.count() } };
}

milliseconds
Wall()
{
  return std::chrono::duration_cast<milliseconds>(
    std::chrono::system_clock::now().time_since_epoch());
}

}

EntryNode::EntryNode(EntryNodeSettings aSettings,
                     HttpMulti& aHttp,
                     RecordStoreI& aStore,
                     BackendOrdersI& aOrders,
                     const FleetFormatI& aFormat,
                     const CallerCodecI& aCodec,
                     const ClockI& aClock)
  : settings_(std::move(aSettings))
  , http_(aHttp)
  , store_(aStore)
  , orders_(aOrders)
  , format_(aFormat)
  , codec_(aCodec)
  , clock_(aClock)
  , peers_(PeerLinkSettings{ settings_.leadership_.address_, kPeerThreads })
{
}

EntryNode::~EntryNode()
{
  ended_ = true;
  http_.Wake();
  if (loop_.joinable()) {
    loop_.join();
  }
  if (ping_.joinable()) {
    ping_.join();
  }
}

leaf::result<void>
EntryNode::Init()
{
  peers_.HandleAsync(kCallType, [this](const json& aMessage, const NngPeerLink::Reply& aReply) {
    OnPeerCall(aMessage, aReply);
  });
  peers_.Handle(kPingType, [this](const json&) -> leaf::result<json> {
    return json{ { "ready", ownerReady_.load() } };
  });
  BOOST_LEAF_CHECK(peers_.Init());
  callerServer_.SetFallback([this](const AdminRequest& aRequest) { return OnCaller(aRequest); });
  BOOST_LEAF_CHECK(callerServer_.Init(settings_.caller_));
  healthServer_.AddRoute("GET", "/metrics", [this](const AdminRequest&) {
    AdminResponse response;
    response.contentType_ = "text/plain";
    response.body_ = metrics_.Exposition();
    return response;
  });
  healthServer_.SetFallback([this](const AdminRequest&) { return OnHealth(); });
  BOOST_LEAF_CHECK(healthServer_.Init(settings_.health_));
  leadership_ = std::make_unique<Leadership>(store_, clock_, settings_.leadership_);
  loop_ = std::thread([this] { Loop(); });
  ping_ = std::thread([this] { PingOwner(); });
  Log(LogLevel::Info, "node.started", { { "caller", settings_.caller_.Text() } });
  return {};
}

void
EntryNode::Shutdown()
{
  Log(LogLevel::Info, "node.stopping", {});
  stopping_ = true;
  http_.Wake();
  const TimePoint begin = clock_.Now();
  while (clock_.Now() - begin < settings_.stopGrace_) {
    std::this_thread::sleep_for(kStopPoll);
  }
  closed_ = true;
  const TimePoint closedAt = clock_.Now();
  lastCall_ = closedAt;
  while ((inFlight_ > 0 || clock_.Now() - lastCall_.load() < kQuietTime) &&
         clock_.Now() - closedAt < settings_.stopFinish_) {
    std::this_thread::sleep_for(kStopPoll);
  }
  ended_ = true;
  http_.Wake();
  loop_.join();
  // The pings end with this object: one that waits for its answer would take time from the stop.
  Log(LogLevel::Info, "node.stopped", { { "in_flight", inFlight_.load() } });
}

void
EntryNode::Loop()
{
  TimePoint last = clock_.Now();
  TimePoint stopSeen{};
  bool resigned = false;
  while (!ended_) {
    const TimePoint now = clock_.Now();
    TakeRequests();
    leadership_->Tick();
    FollowLeadership();
    if (control_) {
      control_->Tick(Wall());
      ownerReady_ = control_->IsReady() && leadership_->IsOwner();
    }
    if (stopping_ && !resigned) {
      stopSeen = stopSeen == TimePoint{} ? now : stopSeen;
      if (!control_ || control_->IsSettled() || now - stopSeen > kSettleLimit) {
        leadership_->Resign();
        resigned = true;
        continue;
      }
    }
    TimePoint due = std::min(leadership_->NextDue(), now + kMaxLoopWait);
    if (control_) {
      due = std::min(due, control_->NextDue());
    }
    // Rounded up: a wait of 0 ms would spin until the time comes.
    const auto wait = std::chrono::ceil<milliseconds>(due - clock_.Now());
    const milliseconds bounded = std::clamp(wait, milliseconds(0), kMaxLoopWait);
    last = clock_.Now();
    http_.Run(bounded);
    if (clock_.Now() - last > bounded + settings_.thawLimit_) {
      Log(LogLevel::Warn, "node.paused", {});
      leadership_->OnPause();
    }
  }
}

void
EntryNode::FollowLeadership()
{
  const bool owner = leadership_->IsOwner();
  if (!owner && control_) {
    ownerReady_ = false;
    control_.reset();
  }
  if (owner && !control_) {
    control_ = std::make_unique<JobControl>(
      store_, orders_, format_, clock_, *leadership_, metrics_, settings_.control_);
  }
  const std::lock_guard lock(mutex_);
  ownerAddress_ = leadership_->Leader().address_;
}

std::string
EntryNode::OwnerAddress() const
{
  const std::lock_guard lock(mutex_);
  return ownerAddress_;
}

void
EntryNode::TakeRequests()
{
  std::deque<Request> requests;
  {
    const std::lock_guard lock(mutex_);
    requests.swap(requests_);
  }
  for (const Request& request : requests) {
    Serve(request);
  }
}

void
EntryNode::Serve(const Request& aRequest)
{
  const GiveReply reply = aRequest.reply_;
  if (!control_ || !control_->IsReady()) {
    reply(Refusal("this host does not own the pools"));
    return;
  }
  control_->Handle(codec_.Decode(aRequest.call_),
                   [this, reply](const JobAnswer& aAnswer) { reply(codec_.Encode(aAnswer)); });
}

void
EntryNode::Enqueue(Request aRequest)
{
  {
    const std::lock_guard lock(mutex_);
    if (requests_.size() < kMaxWaiting) {
      requests_.push_back(std::move(aRequest));
      http_.Wake();
      return;
    }
  }
  aRequest.reply_(Refusal("too many requests wait"));
}

CallerReply
EntryNode::Local(const CallerCall& aCall)
{
  const auto given = std::make_shared<std::promise<CallerReply>>();
  auto answer = given->get_future();
  Enqueue(Request{ aCall, [given](const CallerReply& aReply) { given->set_value(aReply); } });
  if (answer.wait_for(aCall.patience_) != std::future_status::ready) {
    return UnknownReply("the owner did not answer in time");
  }
  return answer.get();
}

void
EntryNode::OnPeerCall(const json& aMessage, const NngPeerLink::Reply& aReply)
{
  if (!ownerReady_) {
    aReply(json{ { "owner", false } });
    return;
  }
  CallerCall call;
  call.method_ = aMessage.value("method", "");
  call.host_ = aMessage.value("host", "");
  call.path_ = aMessage.value("path", "");
  call.body_ = aMessage.value("body", "");
  call.patience_ = milliseconds(aMessage.value("patience_ms", int64_t{ 0 }));
  Enqueue(Request{ std::move(call), [aReply](const CallerReply& aGiven) {
                    aReply(json{ { "owner", true },
                                 { "status", aGiven.status_ },
                                 { "body", aGiven.body_ },
                                 { "retry_after_ms", aGiven.retryAfter_.count() } });
                  } });
}

CallerReply
EntryNode::Relay(const CallerCall& aCall)
{
  const TimePoint begin = clock_.Now();
  const TimePoint deadline = begin + aCall.patience_;
  bool mayHaveRun = false;
  while (clock_.Now() < deadline) {
    if (ownerReady_) {
      const CallerReply reply = Local(aCall);
      return mayHaveRun && reply.status_ == 503 ? UnknownReply("the owner changed") : reply;
    }
    const std::string owner = OwnerAddress();
    bool asked = false;
    if (!owner.empty() && !ownerSilent_ && owner != settings_.leadership_.address_) {
      CallerCall attempt = aCall;
      const auto left = std::chrono::duration_cast<milliseconds>(deadline - clock_.Now());
      attempt.patience_ = std::min(left, kAttemptLimit);
      const auto reply = leaf::try_handle_all(
        [&]() -> leaf::result<json> {
          return peers_.Call(owner, Encode(attempt), attempt.patience_);
        },
        [&](const PeerError& aError) {
          asked = aError.code_ != PeerError::Code::Unreachable;
          return json{ { "owner", false } };
        },
        [&] {
          return json{ { "owner", false } };
        });
      if (reply.value("owner", false)) {
        CallerReply answer;
        answer.status_ = reply.value("status", 503U);
        answer.body_ = reply.value("body", "");
        answer.retryAfter_ = milliseconds(reply.value("retry_after_ms", int64_t{ 0 }));
        return mayHaveRun && answer.status_ == 503 ? UnknownReply("the owner changed") : answer;
      }
    }
    mayHaveRun = mayHaveRun || asked;
    if (clock_.Now() - begin > (mayHaveRun ? kUnknownWait : kOwnerWait)) {
      break;
    }
    std::this_thread::sleep_for(kOwnerPoll);
  }
  return mayHaveRun ? UnknownReply("the owner did not answer")
                    : Refusal("no entry host owns the pools now");
}

AdminResponse
EntryNode::OnCaller(const AdminRequest& aRequest)
{
  CallerCall call;
  call.method_ = aRequest.method_;
  call.host_ = aRequest.Header("host");
  call.path_ = aRequest.path_;
  call.body_ = aRequest.body_;
  const std::string patience = aRequest.Header(codec_.PatienceHeader());
  int64_t value = 0;
  const auto parsed = std::from_chars(patience.data(), patience.data() + patience.size(), value);
  if (parsed.ec == std::errc() && value > 0) {
    call.patience_ = std::min(milliseconds(value), kMaxPatience);
  }
  ++inFlight_;
  const TimePoint begin = clock_.Now();
  const CallerReply reply = closed_ ? Refusal("this host stops") : Relay(call);
  lastCall_ = clock_.Now();
  --inFlight_;
  metrics_.Count("caller_requests{status=\"" + std::to_string(reply.status_) + "\"}");
  metrics_.Observe("caller_latency", clock_.Now() - begin);
  if (reply.status_ >= 500) {
    Log(LogLevel::Info,
        "caller.refused",
        { { "path", call.path_ },
          { "status", reply.status_ },
          { "reason", reply.body_ },
          { "owner", OwnerAddress() },
          { "took_ms", std::chrono::duration_cast<milliseconds>(clock_.Now() - begin).count() } });
  }
  AdminResponse response;
  response.status_ = reply.status_;
  response.body_ = reply.body_;
  response.retryAfter_ = reply.retryAfter_;
  response.closeConnection_ = stopping_;
  return response;
}

AdminResponse
EntryNode::OnHealth() const
{
  const bool ready = !stopping_ && (ownerReady_ || ownerReached_);
  AdminResponse response;
  response.status_ = ready ? 200 : 503;
  response.body_ = json{ { "ready", ready }, { "owner", ownerReady_.load() } }.dump();
  return response;
}

void
EntryNode::PingOwner()
{
  std::string last;
  while (!ended_) {
    const std::string owner = OwnerAddress();
    bool reached = false;
    bool answered = true;
    if (!owner.empty() && owner != settings_.leadership_.address_) {
      const json reply = leaf::try_handle_all(
        [&]() -> leaf::result<json> {
          return peers_.Call(owner, json{ { "type", kPingType } }, kPingLimit);
        },
        [&](const PeerError& aError) {
          Log(LogLevel::Debug, "owner.unreachable", { { "error", aError.message_ } });
          answered = false;
          return json::object();
        },
        [] { return json::object(); });
      reached = reply.value("ready", false);
    }
    if (!answered && !ownerSilent_) {
      Log(LogLevel::Warn, "owner.silent", { { "owner", owner } });
    }
    // Requests are refused at once instead of being sent to an owner that does not answer.
    ownerSilent_ = !answered && owner == last;
    ownerReached_ = reached;
    last = owner;
    std::this_thread::sleep_for(kPingPeriod);
  }
}

}
