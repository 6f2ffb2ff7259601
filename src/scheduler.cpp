#include "sardinespoke/scheduler.h"

#include <boost/lockfree/queue.hpp>

#include <optional>
#include <semaphore>

namespace sardinespoke {

namespace {

constexpr size_t kEventQueueCapacity = 8192;
constexpr uint32_t kMaxWaiters = 8192; // Bounds the memory of waiting callers.
// Maximum number of events processed before decisions are delivered and the view is read again.
constexpr size_t kDrainBatch = 128;
constexpr std::chrono::milliseconds kTickInterval{ 5 };
constexpr std::chrono::milliseconds kExchangeInterval{ 100 };
constexpr std::chrono::milliseconds kCancelPollInterval{ 20 };

// A ticket has the waiter's index in its low bits and a generation counter in the others, so that a
// late event of an earlier use of the waiter is recognised.
constexpr uint32_t kIndexBits = 16;
constexpr uint64_t kIndexMask = (1U << kIndexBits) - 1;
static_assert(kMaxWaiters <= kIndexMask);

}

/// Wait state of one caller. Freed only with the scheduler, because the thread may still be inside
/// release() of the semaphore when the caller continues.
struct Scheduler::Waiter
{
  uint64_t ticket_ = 0;
  const WorkItem* item_ = nullptr;
  std::optional<std::variant<Grant, AdmissionError>> outcome_;
  std::binary_semaphore decided_{ 0 };
};

struct Scheduler::QueuedEvent
{
  enum class Type
  {
    Submit,
    Cancel,
    Release,
    Count
  };
  Type type_ = Type::Submit;
  AttemptResult result_ = AttemptResult::Ok;
  uint64_t id_ = 0; ///< Ticket or grant.
  int64_t runTime_ = 0;
};

struct Scheduler::EventQueue
{
  boost::lockfree::queue<QueuedEvent, boost::lockfree::capacity<kEventQueueCapacity>> entries_;
  boost::lockfree::queue<uint32_t, boost::lockfree::capacity<kMaxWaiters>> freeWaiters_;
  std::counting_semaphore<> pending_{ 0 };

  bool Push(const QueuedEvent& aEntry)
  {
    if (!entries_.bounded_push(aEntry)) {
      return false;
    }
    pending_.release();
    return true;
  }

  /// Retries until the event is queued; for events that must not be lost. Can't deadlock, because
  /// the thread empties the queue without waiting for callers.
  void PushBlocking(const QueuedEvent& aEntry, const std::atomic<Phase>& aPhase)
  {
    while (!Push(aEntry)) {
      if (aPhase.load() == Phase::Stopped) {
        return;
      }
      std::this_thread::yield();
    }
  }
};

Scheduler::Scheduler(SchedulerSettings aSettings,
                     ConfigSourceI& aConfig,
                     DemandExchangeI& aExchange,
                     const ClockI& aClock)
  : settings_(aSettings)
  , config_(aConfig)
  , exchange_(aExchange)
  , clock_(aClock)
  , eventQueue_(std::make_unique<EventQueue>())
  , core_(std::move(aSettings))
{
  for (uint32_t index = 0; index < kMaxWaiters; ++index) {
    waiters_.push_back(std::make_unique<Waiter>());
    waiters_.back()->ticket_ = index;
    eventQueue_->freeWaiters_.bounded_push(index);
  }
}

Scheduler::~Scheduler()
{
  Shutdown();
}

void
Scheduler::Init()
{
  Phase expected = Phase::Idle;
  if (phase_.compare_exchange_strong(expected, Phase::Running)) {
    thread_ = std::thread([this] { Run(); });
  }
}

void
Scheduler::StopAdmission()
{
  Phase expected = Phase::Running;
  phase_.compare_exchange_strong(expected, Phase::NoAdmission);
}

void
Scheduler::Shutdown()
{
  phase_.store(Phase::Stopped);
  eventQueue_->pending_.release();
  if (thread_.joinable()) {
    thread_.join();
  }
}

leaf::result<Grant>
Scheduler::Acquire(const WorkItem& aItem)
{
  // Incremented before phase_ is read, so that the thread doesn't end while a caller waits for it.
  ++callers_;
  leaf::result<Grant> result = Enqueue(aItem);
  --callers_;
  return result;
}

leaf::result<Grant>
Scheduler::Enqueue(const WorkItem& aItem)
{
  if (phase_.load() != Phase::Running) {
    return leaf::new_error(
      AdmissionError{ AdmissionError::Code::Stopping, "the entry host stops" });
  }
  uint32_t index = 0;
  if (!eventQueue_->freeWaiters_.pop(index)) {
    return leaf::new_error(
      AdmissionError{ AdmissionError::Code::QueueFull, "too many callers wait for a slot" });
  }
  Waiter& waiter = *waiters_[index];
  waiter.ticket_ += kIndexMask + 1;
  waiter.item_ = &aItem;
  if (!eventQueue_->Push({ QueuedEvent::Type::Submit, AttemptResult::Ok, waiter.ticket_, 0 })) {
    eventQueue_->freeWaiters_.bounded_push(index);
    return leaf::new_error(
      AdmissionError{ AdmissionError::Code::QueueFull, "the scheduler's ring is full" });
  }
  const bool cancelled = WaitForDecision(waiter, aItem);
  std::variant<Grant, AdmissionError> outcome = std::move(*waiter.outcome_);
  waiter.outcome_.reset();
  eventQueue_->freeWaiters_.bounded_push(index);
  if (auto* error = std::get_if<AdmissionError>(&outcome)) {
    return leaf::new_error(std::move(*error));
  }
  if (cancelled) {
    Release(std::get<Grant>(outcome), AttemptResult::Cancelled, std::chrono::nanoseconds(0));
    return leaf::new_error(
      AdmissionError{ AdmissionError::Code::Cancelled, "the caller has gone" });
  }
  return std::get<Grant>(std::move(outcome));
}

bool
Scheduler::WaitForDecision(Waiter& aWaiter, const WorkItem& aItem)
{
  if (aItem.cancelled_ == nullptr) {
    aWaiter.decided_.acquire();
    return false;
  }
  while (!aWaiter.decided_.try_acquire_for(kCancelPollInterval)) {
    if (!aItem.cancelled_->load(std::memory_order_relaxed)) {
      continue;
    }
    eventQueue_->PushBlocking({ QueuedEvent::Type::Cancel, AttemptResult::Ok, aWaiter.ticket_, 0 },
                              phase_);
    aWaiter.decided_.acquire();
    return true;
  }
  return false;
}

bool
Scheduler::MayStart(const Grant& aGrant)
{
  if (!config_.MayDispatch()) {
    return false;
  }
  const std::shared_ptr<const ConfigView> view = config_.Current();
  if (view == nullptr || view->fleet_ == nullptr) {
    return false;
  }
  const auto host = view->fleet_->hosts_.find(aGrant.host_);
  if (host == view->fleet_->hosts_.end()) {
    return false;
  }
  const bool leaving = view->leaving_ != nullptr && view->leaving_->contains(aGrant.host_);
  return !leaving && host->second.state_ == HostState::Serving &&
         host->second.pool_ == aGrant.pool_;
}

void
Scheduler::Release(const Grant& aGrant, AttemptResult aResult, std::chrono::nanoseconds aRunTime)
{
  CountInFlight(aGrant.host_, -1);
  eventQueue_->PushBlocking({ QueuedEvent::Type::Release, aResult, aGrant.id_, aRunTime.count() },
                            phase_);
}

std::vector<std::string>
Scheduler::Suspects() const
{
  const std::lock_guard lock(stateMutex_);
  return suspects_;
}

std::vector<std::string>
Scheduler::BusyDrainingHosts() const
{
  const std::shared_ptr<const ConfigView> view = config_.Current();
  std::vector<std::string> busy;
  const std::lock_guard lock(stateMutex_);
  for (const auto& [host, count] : inFlight_) {
    if (view == nullptr || view->fleet_ == nullptr) {
      busy.push_back(host);
      continue;
    }
    const auto found = view->fleet_->hosts_.find(host);
    const bool leaving = view->leaving_ != nullptr && view->leaving_->contains(host);
    if (leaving || found == view->fleet_->hosts_.end() ||
        found->second.state_ != HostState::Serving) {
      busy.push_back(host);
    }
  }
  return busy;
}

SchedulerCounters
Scheduler::Counters() const
{
  const std::lock_guard lock(stateMutex_);
  return counters_;
}

void
Scheduler::Run()
{
  nextTick_ = clock_.Now();
  nextExchange_ = nextTick_;
  while (phase_.load() != Phase::Stopped) {
    ReadInputs();
    if (clock_.Now() >= nextTick_) {
      Apply(TickEvent{});
      PublishState();
      nextTick_ = clock_.Now() + kTickInterval;
    }
    ExchangeDemand();
    DeliverDecisions();
    if (eventQueue_->pending_.try_acquire_for(kTickInterval)) {
      ProcessEvents();
      DeliverDecisions();
    }
  }
  RefuseAll();
}

void
Scheduler::ReadInputs()
{
  if (const auto view = config_.Current(); view != view_) {
    view_ = view;
    Apply(ViewEvent{ view_ });
  }
  if (const bool mayDispatch = config_.MayDispatch(); mayDispatch != mayDispatch_) {
    mayDispatch_ = mayDispatch;
    Apply(ConfirmationEvent{ mayDispatch_ });
  }
}

void
Scheduler::ProcessEvents()
{
  // The semaphore is drained before the queue: an event is pushed before the semaphore is released,
  // so the events of all counts taken here are popped below, and a later one wakes the thread
  // again.
  while (eventQueue_->pending_.try_acquire()) {
  }
  QueuedEvent entry;
  for (size_t taken = 0; taken < kDrainBatch && eventQueue_->entries_.pop(entry); ++taken) {
    switch (entry.type_) {
      case QueuedEvent::Type::Submit:
        Apply(SubmitEvent{ entry.id_, *waiters_[entry.id_ & kIndexMask]->item_ });
        break;
      case QueuedEvent::Type::Cancel:
        Apply(CancelEvent{ entry.id_ });
        break;
      case QueuedEvent::Type::Release:
        Apply(ReleaseEvent{ entry.id_, entry.result_, std::chrono::nanoseconds(entry.runTime_) });
        break;
      case QueuedEvent::Type::Count:
        break;
    }
  }
  if (!eventQueue_->entries_.empty()) {
    eventQueue_->pending_.release();
  }
}

void
Scheduler::DeliverDecisions()
{
  for (Decision& decision : decisions_) {
    Waiter& waiter = *waiters_[decision.ticket_ & kIndexMask];
    if (const auto* grant = std::get_if<Grant>(&decision.outcome_)) {
      CountInFlight(grant->host_, 1);
    }
    waiter.outcome_ = std::move(decision.outcome_);
    waiter.decided_.release();
  }
  decisions_.clear();
}

void
Scheduler::RefuseAll()
{
  // Callers that read phase_ just before it changed may still push events.
  do {
    ProcessEvents();
    Apply(ViewEvent{ nullptr });
    for (Decision& decision : decisions_) {
      if (std::holds_alternative<AdmissionError>(decision.outcome_)) {
        decision.outcome_ =
          AdmissionError{ AdmissionError::Code::Stopping, "the entry host stops" };
      }
    }
    DeliverDecisions();
    eventQueue_->pending_.try_acquire_for(kTickInterval);
  } while (callers_.load() > 0 || !eventQueue_->entries_.empty());
}

void
Scheduler::ExchangeDemand()
{
  const TimePoint now = clock_.Now();
  if (now < nextExchange_) {
    return;
  }
  nextExchange_ = now + kExchangeInterval;
  exchange_.Publish(core_.TakeDemand());
  if (const auto table = exchange_.Table(); table != nullptr && table != table_) {
    table_ = table;
    Apply(TableEvent{ table_ });
  }
}

void
Scheduler::PublishState()
{
  std::vector<std::string> suspects = core_.Suspects(clock_.Now());
  const SchedulerCounters counters = core_.Counters();
  const std::lock_guard lock(stateMutex_);
  suspects_ = std::move(suspects);
  counters_ = counters;
}

void
Scheduler::Apply(const SchedulerEvent& aEvent)
{
  core_.Step(aEvent, clock_.Now(), decisions_);
}

void
Scheduler::CountInFlight(const std::string& aHost, int aChange)
{
  const std::lock_guard lock(stateMutex_);
  const auto entry = inFlight_.try_emplace(aHost, 0).first;
  entry->second += aChange;
  if (entry->second == 0) {
    inFlight_.erase(entry);
  }
}

}
