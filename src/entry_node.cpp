#include "sardinespoke/entry_node.h"

#include "bearer_token_p.h"
#include "number_range_p.h"
#include "sardinespoke/logging.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <future>
#include <optional>

namespace sardinespoke {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr char kCallType[] = "job.call";
constexpr char kPingType[] = "owner.ping";
// Requests queued for the control thread; further ones are refused at once.
constexpr size_t kMaxQueuedRequests = 1000;
// Their bodies, also those that other entry hosts forward, as a part of the budget for clients.
constexpr uint64_t kQueuePercent = 50;
// Few threads suffice, since callers' requests get asynchronous replies.
constexpr size_t kPeerCallThreads = 3;
// How long a request waits for the election of a leader before it is refused.
constexpr milliseconds kElectionTimeout{ 400 };
constexpr milliseconds kLeaderPollPeriod{ 25 };
constexpr milliseconds kPingPeriod{ 300 };
constexpr milliseconds kPingTimeout{ 400 };
// Timeout of one call to the leader; another leader may have been elected by then.
constexpr milliseconds kAttemptTimeout{ 600 };
// How long a request that a leader may have accepted is retried at its successor. Retries, also by
// the caller, are safe: they refer to the same job by its id.
constexpr milliseconds kSuccessorRetryTime{ 1500 };
// The same for a request without effect that got no answer: time for a second attempt over a new
// connection, as the first may have gone silent.
constexpr milliseconds kUnansweredRetryTime{ 1000 };
constexpr milliseconds kMaxCallerTimeout{ 30000 };
constexpr milliseconds kRetryAfter{ 1000 };
constexpr milliseconds kMaxLoopWait{ 100 };
constexpr milliseconds kLoadReportPeriod{ 1000 };
constexpr milliseconds kJournalIdleTimeout{ 500 };
constexpr milliseconds kStopPoll{ 20 };
// Requests that are in transit when a host starts to refuse are received within this time.
constexpr milliseconds kNoRequestTime{ 300 };

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
OutcomeUnknownReply(const char* aReason)
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
               { "body", aCall.body_ }, { "patience_ms", aCall.timeout_.count() },
               { "key", aCall.apiKey_ } };
}

/// @returns Whether an answer of a leader also holds for the attempt at an earlier one.
bool
CoversEarlierAttempt(const CallerReply& aReply)
{
  constexpr unsigned int kFirstNoSuccess = 300;
  constexpr unsigned int kGone = 410;
  return aReply.status_ < kFirstNoSuccess || aReply.status_ == kGone;
}

/// @returns Whether the field is there and is true.
bool
IsTrue(const json& aMessage, const char* aName)
{
  return aMessage.is_object() && aMessage.contains(aName) && aMessage.at(aName) == true;
}

/// @returns The leader's reply to a caller; empty if it cannot be read.
std::optional<CallerReply>
DecodeReply(const json& aMessage)
{
  constexpr NumberRange kStatusRange{ 100, 599 };
  try {
    const auto status = ReadInteger(aMessage.at("status"), kStatusRange);
    const auto retryAfter = ReadInteger(aMessage.at("retry_after_ms"), kCountRange);
    if (status && retryAfter) {
      return CallerReply{ static_cast<unsigned int>(*status),
                          aMessage.at("body").get<std::string>(),
                          milliseconds(*retryAfter) };
    }
    Log(LogLevel::Warn, "owner.unreadable", { { "error", "a number is out of range" } });
  } catch (const json::exception& failure) {
    Log(LogLevel::Warn, "owner.unreadable", { { "error", failure.what() } });
  }
  return std::nullopt;
}

milliseconds
UnixTime()
{
  return std::chrono::duration_cast<milliseconds>(
    std::chrono::system_clock::now().time_since_epoch());
}

}

EntryNode::EntryNode(EntryNodeSettings aSettings,
                     HttpMulti& aHttp,
                     RecordStoreI& aStore,
                     BackendCommandsI& aCommands,
                     const FleetFormatI& aFormat,
                     const CallerCodecI& aCodec,
                     const ClockI& aClock)
  : settings_(std::move(aSettings))
  , http_(aHttp)
  , store_(aStore)
  , commands_(aCommands)
  , format_(aFormat)
  , codec_(aCodec)
  , clock_(aClock)
  , peers_(PeerLinkSettings{ settings_.leadership_.address_, kPeerCallThreads })
  , intake_(settings_.intake_, aClock)
{
}

EntryNode::~EntryNode()
{
  exiting_ = true;
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
    HandlePeerCall(aMessage, aReply);
  });
  peers_.Handle(kPingType, [this](const json&) -> leaf::result<json> {
    return json{ { "ready", localLeaderReady_.load() } };
  });
  BOOST_LEAF_CHECK(peers_.Init());
  callerServer_.SetFallback(
    [this](const AdminRequest& aRequest) { return HandleCallerRequest(aRequest); });
  callerServer_.SetBudget(intake_);
  healthServer_.SetBudget(intake_);
  BOOST_LEAF_CHECK(callerServer_.Init(settings_.caller_));
  healthServer_.AddRoute("GET", "/metrics", [this](const AdminRequest&) {
    AdminResponse response;
    response.contentType_ = "text/plain";
    response.body_ = metrics_.Exposition();
    return response;
  });
  healthServer_.SetFallback([this](const AdminRequest&) { return HealthResponse(); });
  BOOST_LEAF_CHECK(healthServer_.Init(settings_.health_));
  leadership_ = std::make_unique<Leadership>(store_, clock_, settings_.leadership_);
  loop_ = std::thread([this] { RunControlLoop(); });
  ping_ = std::thread([this] { PingLeader(); });
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
  refusesNewRequests_ = true;
  const TimePoint closedAt = clock_.Now();
  lastReplyAt_ = closedAt;
  while ((inFlight_ > 0 || clock_.Now() - lastReplyAt_.load() < kNoRequestTime) &&
         clock_.Now() - closedAt < settings_.stopDrainTimeout_) {
    std::this_thread::sleep_for(kStopPoll);
  }
  exiting_ = true;
  http_.Wake();
  loop_.join();
  // The ping thread is joined by the destructor: waiting for a ping here would delay the stop.
  Log(LogLevel::Info, "node.stopped", { { "in_flight", inFlight_.load() } });
}

void
EntryNode::RunControlLoop()
{
  TimePoint last = clock_.Now();
  TimePoint stopSeen{};
  TimePoint nextReport{};
  bool resigned = false;
  while (!exiting_) {
    const TimePoint now = clock_.Now();
    HandleQueuedRequests();
    leadership_->Tick();
    FollowLeadership();
    if (control_) {
      control_->Tick(UnixTime());
      localLeaderReady_ = control_->IsReady() && leadership_->IsLeader();
    }
    if (stopping_ && !resigned) {
      stopSeen = stopSeen == TimePoint{} ? now : stopSeen;
      if (!control_ || control_->IsJournalIdle() || now - stopSeen > kJournalIdleTimeout) {
        leadership_->Resign(control_ ? control_->MakeHandover() : Handover{});
        resigned = true;
        continue;
      }
    }
    TimePoint due = std::min(leadership_->NextDue(), now + kMaxLoopWait);
    if (control_) {
      due = std::min(due, control_->NextDue());
    }
    if (now >= nextReport) {
      nextReport = now + kLoadReportPeriod;
      LogLoad();
    }
    // Rounded up, since waits of 0 ms would spin until the due time.
    const auto wait = std::chrono::ceil<milliseconds>(due - clock_.Now());
    const milliseconds bounded = std::clamp(wait, milliseconds(0), kMaxLoopWait);
    last = clock_.Now();
    http_.Run(bounded);
    if (clock_.Now() - last > bounded + settings_.pauseThreshold_) {
      Log(LogLevel::Warn, "node.paused", {});
      leadership_->OnProcessPause();
    }
  }
}

void
EntryNode::LogLoad()
{
  FlushLog();
  LogIntake();
  metrics_.Set("log_lines_dropped", static_cast<double>(DroppedLogLines()));
  const HttpMulti::Load load = http_.TakeLoad();
  if (!control_) {
    return;
  }
  using std::chrono::duration_cast;
  using std::chrono::microseconds;
  const TimePoint now = clock_.Now();
  const std::chrono::duration<double> busy = load.busy_ + control_->TakeBusyTime();
  const std::chrono::duration<double> period = now - loadReportedAt_;
  control_->ReportUtilization(busy / period, now - loadReportedAt_);
  loadReportedAt_ = now;
  Log(LogLevel::Info,
      "leader.http",
      { { "busy_us", duration_cast<microseconds>(load.busy_).count() },
        { "callbacks_us", duration_cast<microseconds>(load.callbacks_).count() },
        { "longest_run_us", duration_cast<microseconds>(load.longestRun_).count() },
        { "calls", load.calls_ },
        { "connections", http_.Connections() } });
}

void
EntryNode::LogIntake()
{
  const IntakeCounters now = intake_.Counters();
  metrics_.Set("intake_bytes", static_cast<double>(now.bytes_));
  metrics_.Set("intake_connections", static_cast<double>(now.connections_));
  const uint64_t forBytes = now.closedForBytes_ - loggedIntake_.closedForBytes_;
  const uint64_t forConnections = now.closedForConnections_ - loggedIntake_.closedForConnections_;
  const uint64_t forTime = now.closedForTime_ - loggedIntake_.closedForTime_;
  const uint64_t refused = now.refused_ - loggedIntake_.refused_;
  loggedIntake_ = now;
  if (forBytes + forConnections + forTime + refused == 0) {
    return;
  }
  Log(LogLevel::Warn,
      "intake.limited",
      { { "closed_for_bytes", forBytes },
        { "closed_for_connections", forConnections },
        { "closed_for_time", forTime },
        { "refused", refused },
        { "bytes", now.bytes_ },
        { "connections", now.connections_ } });
}

void
EntryNode::FollowLeadership()
{
  const bool leader = leadership_->IsLeader();
  if (!leader && control_) {
    localLeaderReady_ = false;
    control_.reset();
  }
  if (leader && !control_) {
    control_ = std::make_unique<JobControl>(
      store_, commands_, format_, clock_, *leadership_, metrics_, settings_.control_);
  }
  const std::lock_guard lock(mutex_);
  leaderAddress_ = leadership_->Leader().address_;
}

std::string
EntryNode::LeaderAddress() const
{
  const std::lock_guard lock(mutex_);
  return leaderAddress_;
}

void
EntryNode::HandleQueuedRequests()
{
  std::deque<Request> requests;
  {
    const std::lock_guard lock(mutex_);
    requests.swap(requests_);
    queuedBytes_ = 0;
  }
  for (const Request& request : requests) {
    HandleRequest(request);
  }
}

void
EntryNode::HandleRequest(const Request& aRequest)
{
  const ReplyCallback reply = aRequest.reply_;
  metrics_.Observe("control_queue_wait", clock_.Now() - aRequest.receivedAt_);
  if (clock_.Now() - aRequest.receivedAt_ >= aRequest.call_.timeout_) {
    // This host was paused or is behind: the caller has left, and may have cancelled elsewhere.
    reply(Refusal("the deadline has passed"));
    return;
  }
  if (!control_ || !control_->IsReady()) {
    reply(Refusal("this host does not own the pools"));
    return;
  }
  control_->Handle(codec_.Decode(aRequest.call_),
                   [this, reply](const JobResponse& aAnswer) { reply(codec_.Encode(aAnswer)); });
}

void
EntryNode::Enqueue(Request aRequest)
{
  {
    const std::lock_guard lock(mutex_);
    const uint64_t bytes = queuedBytes_ + aRequest.call_.body_.size();
    const uint64_t limit = settings_.intake_.budgetBytes_ * kQueuePercent / 100;
    if (requests_.size() < kMaxQueuedRequests && bytes <= limit) {
      queuedBytes_ = bytes;
      requests_.push_back(std::move(aRequest));
      http_.Wake();
      return;
    }
  }
  aRequest.reply_(Refusal("too many requests wait"));
}

CallerReply
EntryNode::HandleLocally(const CallerCall& aCall)
{
  const auto replyPromise = std::make_shared<std::promise<CallerReply>>();
  auto answer = replyPromise->get_future();
  Enqueue(Request{ aCall,
                   [replyPromise](const CallerReply& aReply) { replyPromise->set_value(aReply); },
                   clock_.Now() });
  if (answer.wait_for(aCall.timeout_) != std::future_status::ready) {
    return OutcomeUnknownReply("the owner did not answer in time");
  }
  return answer.get();
}

void
EntryNode::HandlePeerCall(const json& aMessage, const NngPeerLink::Reply& aReply)
{
  if (!localLeaderReady_) {
    aReply(json{ { "owner", false } });
    return;
  }
  CallerCall call;
  call.method_ = aMessage.value("method", "");
  call.host_ = aMessage.value("host", "");
  call.path_ = aMessage.value("path", "");
  call.apiKey_ = aMessage.value("key", ""); // Earlier releases forward none.
  call.body_ = aMessage.value("body", "");
  call.timeout_ = milliseconds(aMessage.value("patience_ms", call.timeout_.count()));
  Enqueue(Request{ std::move(call),
                   [aReply](const CallerReply& aCallerReply) {
                     aReply(json{ { "owner", true },
                                  { "status", aCallerReply.status_ },
                                  { "body", aCallerReply.body_ },
                                  { "retry_after_ms", aCallerReply.retryAfter_.count() } });
                   },
                   clock_.Now() });
}

EntryNode::LeaderAnswer
EntryNode::AskLeader(const std::string& aLeader, const CallerCall& aCall)
{
  LeaderAnswer answer;
  const TimePoint begin = clock_.Now();
  const auto reply = leaf::try_handle_all(
    [&]() -> leaf::result<json> { return peers_.Call(aLeader, Encode(aCall), aCall.timeout_); },
    [&](const PeerError& aError) {
      answer.mayHaveReached_ = aError.code_ != PeerError::Code::Unreachable;
      metrics_.Count(std::string("leader_calls_failed{error=\"") + CodeName(aError.code_) + "\"}");
      Log(LogLevel::Info,
          "owner.no_answer",
          { { "method", aCall.method_ },
            { "path", aCall.path_ },
            { "owner", aLeader },
            { "may_have_reached", answer.mayHaveReached_ },
            { "error", CodeName(aError.code_) },
            { "detail", aError.message_ },
            { "took_ms", MillisecondsSince(begin) } });
      return json{ { "owner", false } };
    },
    [] {
      return json{ { "owner", false } };
    });
  if (IsTrue(reply, "owner")) {
    answer.reply_ = DecodeReply(reply);
    answer.mayHaveReached_ = !answer.reply_;
  }
  return answer;
}

CallerReply
EntryNode::ForwardToLeader(const CallerCall& aCall)
{
  const TimePoint begin = clock_.Now();
  const TimePoint deadline = begin + aCall.timeout_;
  const bool hasEffect = aCall.method_ != "GET";
  bool mayHaveRun = false;
  milliseconds retryTime = kElectionTimeout;
  const auto settle = [&mayHaveRun](const CallerReply& aReply) {
    return mayHaveRun && !CoversEarlierAttempt(aReply) ? OutcomeUnknownReply("the owner changed")
                                                       : aReply;
  };
  while (clock_.Now() < deadline) {
    if (localLeaderReady_) {
      return settle(HandleLocally(aCall));
    }
    const std::string leader = LeaderAddress();
    if (!leader.empty() && !leaderUnresponsive_ && leader != settings_.leadership_.address_) {
      CallerCall attempt = aCall;
      const auto left = std::chrono::duration_cast<milliseconds>(deadline - clock_.Now());
      attempt.timeout_ = std::min(left, kAttemptTimeout);
      const LeaderAnswer answer = AskLeader(leader, attempt);
      if (answer.reply_) {
        return settle(*answer.reply_);
      }
      mayHaveRun = mayHaveRun || (hasEffect && answer.mayHaveReached_);
      if (answer.mayHaveReached_) {
        retryTime = hasEffect ? kSuccessorRetryTime : kUnansweredRetryTime;
      }
    }
    if (clock_.Now() - begin > retryTime) {
      break;
    }
    std::this_thread::sleep_for(kLeaderPollPeriod);
  }
  return mayHaveRun ? OutcomeUnknownReply("the owner did not answer")
                    : Refusal("no entry host owns the pools now");
}

int64_t
EntryNode::MillisecondsSince(TimePoint aBegin) const
{
  return std::chrono::duration_cast<milliseconds>(clock_.Now() - aBegin).count();
}

AdminResponse
EntryNode::HandleCallerRequest(const AdminRequest& aRequest)
{
  CallerCall call;
  call.method_ = aRequest.method_;
  call.host_ = aRequest.Header("host");
  call.path_ = aRequest.path_;
  call.apiKey_ = BearerToken(aRequest.Header("authorization"));
  call.body_ = aRequest.body_;
  const std::string patience = aRequest.Header(codec_.TimeoutHeader());
  int64_t value = 0;
  const auto parsed = std::from_chars(patience.data(), patience.data() + patience.size(), value);
  if (parsed.ec == std::errc() && value > 0) {
    call.timeout_ = std::min(milliseconds(value), kMaxCallerTimeout);
  }
  ++inFlight_;
  const TimePoint begin = clock_.Now();
  const CallerReply reply =
    refusesNewRequests_ ? Refusal("this host stops") : ForwardToLeader(call);
  lastReplyAt_ = clock_.Now();
  --inFlight_;
  metrics_.Count("caller_requests{status=\"" + std::to_string(reply.status_) + "\"}");
  metrics_.Observe("caller_latency", clock_.Now() - begin);
  constexpr unsigned int kUnauthorized = 401;
  constexpr unsigned int kNotFound = 404;
  if (reply.status_ >= 500 || reply.status_ == kNotFound) {
    Log(LogLevel::Info,
        "caller.refused",
        { { "method", call.method_ },
          { "path", call.path_ },
          { "status", reply.status_ },
          { "reason", reply.body_ },
          { "owner", LeaderAddress() },
          { "took_ms", MillisecondsSince(begin) } });
  }
  AdminResponse response;
  response.status_ = reply.status_;
  response.body_ = reply.body_;
  response.retryAfter_ = reply.retryAfter_;
  response.challenge_ = reply.status_ == kUnauthorized ? "Bearer" : "";
  response.closeConnection_ = stopping_;
  return response;
}

AdminResponse
EntryNode::HealthResponse() const
{
  const bool ready = !stopping_ && (localLeaderReady_ || remoteLeaderReady_);
  AdminResponse response;
  response.status_ = ready ? 200 : 503;
  response.body_ = json{ { "ready", ready }, { "owner", localLeaderReady_.load() } }.dump();
  return response;
}

void
EntryNode::PingLeader()
{
  std::string last;
  while (!exiting_) {
    const std::string leader = LeaderAddress();
    bool leaderReady = false;
    bool responded = true;
    if (!leader.empty() && leader != settings_.leadership_.address_) {
      const json reply = leaf::try_handle_all(
        [&]() -> leaf::result<json> {
          return peers_.Call(leader, json{ { "type", kPingType } }, kPingTimeout);
        },
        [&](const PeerError& aError) {
          Log(LogLevel::Debug, "owner.unreachable", { { "error", aError.message_ } });
          responded = false;
          return json::object();
        },
        [] { return json::object(); });
      leaderReady = IsTrue(reply, "ready");
    }
    if (!responded && !leaderUnresponsive_) {
      Log(LogLevel::Warn, "owner.silent", { { "owner", leader } });
    }
    // While set, requests are refused at once instead of being sent to an unresponsive leader.
    leaderUnresponsive_ = !responded && leader == last;
    remoteLeaderReady_ = leaderReady;
    last = leader;
    std::this_thread::sleep_for(kPingPeriod);
  }
}

}
