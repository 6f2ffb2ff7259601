#include "sardinespoke/advice_cache.h"

#include "sardinespoke/logging.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace sardinespoke {

namespace {

using std::chrono::milliseconds;

// Bounds the response time, which grows with each backend server in a query.
constexpr size_t kMaxBackendsPerQuery = 30;
// A ticket must stay valid until the start command has reached the backend server.
constexpr milliseconds kTicketMargin{ 150 };
constexpr milliseconds kAdviceRetryDelay{ 200 };
// Added to the configured response time of the service.
constexpr milliseconds kAdviceResponseMargin{ 1000 };

}

AdviceCache::AdviceCache(BackendCommandsI& aCommands, const ClockI& aClock)
  : commands_(aCommands)
  , clock_(aClock)
{
}

size_t
AdviceCache::CountValidTickets(const StepAdvice& aKnown) const
{
  const TimePoint now = clock_.Now();
  return static_cast<size_t>(
    std::count_if(aKnown.allowed_.begin(), aKnown.allowed_.end(), [now](const auto& aGrant) {
      return now + kTicketMargin < aGrant.second.validUntil_;
    }));
}

void
AdviceCache::QueryIfNeeded(const std::string& aStep,
                           const QueuePolicy& aQueue,
                           const std::vector<std::string>& aPool,
                           size_t aTasks)
{
  StepAdvice& advice = steps_[aStep];
  if (advice.queryPending_ || aTasks == 0 || CountValidTickets(advice) > 0) {
    return;
  }
  AdviceQuery query;
  query.step_ = aStep;
  for (const std::string& backend : aPool) {
    const bool isAllowed = advice.allowed_.count(backend) > 0;
    const bool isNew = advice.queriedBackends_.count(backend) == 0;
    if ((isAllowed || isNew) && query.backends_.size() < kMaxBackendsPerQuery) {
      query.backends_.push_back(backend);
    }
  }
  if (query.backends_.empty()) {
    return;
  }
  query.timeout_ = aQueue.adviceDecide_ +
                   aQueue.advicePeriod_ * static_cast<int64_t>(query.backends_.size()) +
                   kAdviceResponseMargin;
  advice.queryPending_ = true;
  pendingQueries_.push_back(std::move(query));
}

void
AdviceCache::Tick()
{
  if (queryInFlight_ || pendingQueries_.empty() || clock_.Now() < nextQueryAt_) {
    return;
  }
  queryInFlight_ = true;
  const AdviceQuery query = pendingQueries_.front();
  pendingQueries_.pop_front();
  const TimePoint sent = clock_.Now();
  const std::weak_ptr<bool> alive = alive_;
  commands_.Advise(query, [this, alive, query, sent](const AdviceResult& aResult) {
    if (alive.lock()) {
      OnAdvice(query, sent, aResult);
    }
  });
}

void
AdviceCache::OnAdvice(const AdviceQuery& aQuery, TimePoint aSent, const AdviceResult& aResult)
{
  queryInFlight_ = false;
  const auto found = steps_.find(aQuery.step_);
  if (found == steps_.end()) {
    return; // The job has ended.
  }
  StepAdvice& advice = found->second;
  advice.queryPending_ = false;
  if (!aResult.ok_) {
    Log(LogLevel::Info, "advice.missing", { { "step", aQuery.step_ }, { "busy", aResult.busy_ } });
    nextQueryAt_ = clock_.Now() + kAdviceRetryDelay;
    return;
  }
  advice.queriedBackends_.insert(aQuery.backends_.begin(), aQuery.backends_.end());
  for (const auto& [backend, ticket] : aResult.allowed_) {
    advice.allowed_[backend] = Grant{ ticket, aSent + aResult.validFor_ };
  }
  changed_ = true;
}

std::string
AdviceCache::Ticket(const std::string& aStep, const std::string& aBackend) const
{
  const auto step = steps_.find(aStep);
  if (step == steps_.end()) {
    return "";
  }
  const auto grant = step->second.allowed_.find(aBackend);
  const bool valid = grant != step->second.allowed_.end() &&
                     clock_.Now() + kTicketMargin < grant->second.validUntil_;
  return valid ? grant->second.ticket_ : "";
}

void
AdviceCache::Refused(const std::string& aStep, const std::string& aBackend)
{
  const auto step = steps_.find(aStep);
  if (step == steps_.end()) {
    return;
  }
  const auto grant = step->second.allowed_.find(aBackend);
  if (grant != step->second.allowed_.end()) {
    grant->second.validUntil_ = TimePoint{};
  }
}

void
AdviceCache::Forget(const std::string& aJob)
{
  const std::string prefix = aJob + ".";
  for (auto step = steps_.lower_bound(prefix); step != steps_.end();) {
    if (step->first.rfind(prefix, 0) != 0) {
      return;
    }
    step = steps_.erase(step);
  }
}

bool
AdviceCache::TakeChanged()
{
  const bool changed = changed_;
  changed_ = false;
  return changed;
}

}
