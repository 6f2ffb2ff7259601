#include "sardinespoke/advice_book.h"

#include "sardinespoke/logging.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace sardinespoke {

namespace {

using std::chrono::milliseconds;

// Backend servers named in one question; the service's time grows with each.
constexpr size_t kNamedAtOnce = 30;
// A ticket must outlive the way of a start.
constexpr milliseconds kTicketMargin{ 150 };
constexpr milliseconds kBusyPause{ 200 };
// Added to the time that the service is said to take.
constexpr milliseconds kAnswerSlack{ 1000 };

}

AdviceBook::AdviceBook(BackendCommandsI& aOrders, const ClockI& aClock)
  : commands_(aOrders)
  , clock_(aClock)
{
}

size_t
AdviceBook::Valid(const Known& aKnown) const
{
  const TimePoint now = clock_.Now();
  return static_cast<size_t>(
    std::count_if(aKnown.allowed_.begin(), aKnown.allowed_.end(), [now](const auto& aGrant) {
      return now + kTicketMargin < aGrant.second.validUntil_;
    }));
}

void
AdviceBook::Want(const std::string& aStep,
                 const QueuePolicy& aQueue,
                 const std::vector<std::string>& aPool,
                 size_t aTasks)
{
  Known& known = steps_[aStep];
  if (known.queued_ || aTasks == 0 || Valid(known) > 0) {
    return;
  }
  AdviceQuery query;
  query.step_ = aStep;
  for (const std::string& backend : aPool) {
    const bool isAllowed = known.allowed_.count(backend) > 0;
    const bool isNew = known.asked_.count(backend) == 0;
    if ((isAllowed || isNew) && query.backends_.size() < kNamedAtOnce) {
      query.backends_.push_back(backend);
    }
  }
  if (query.backends_.empty()) {
    return;
  }
  query.timeout_ = aQueue.adviceDecide_ +
                   aQueue.advicePeriod_ * static_cast<int64_t>(query.backends_.size()) +
                   kAnswerSlack;
  known.queued_ = true;
  queue_.push_back(std::move(query));
}

void
AdviceBook::Tick()
{
  if (asking_ || queue_.empty() || clock_.Now() < next_) {
    return;
  }
  asking_ = true;
  const AdviceQuery query = queue_.front();
  queue_.pop_front();
  const TimePoint sent = clock_.Now();
  const std::weak_ptr<bool> alive = alive_;
  commands_.Advise(query, [this, alive, query, sent](const AdviceResult& aResult) {
    if (alive.lock()) {
      OnAdvice(query, sent, aResult);
    }
  });
}

void
AdviceBook::OnAdvice(const AdviceQuery& aQuery, TimePoint aSent, const AdviceResult& aResult)
{
  asking_ = false;
  const auto found = steps_.find(aQuery.step_);
  if (found == steps_.end()) {
    return; // The job is over.
  }
  Known& known = found->second;
  known.queued_ = false;
  if (!aResult.ok_) {
    Log(LogLevel::Info, "advice.missing", { { "step", aQuery.step_ }, { "busy", aResult.busy_ } });
    next_ = clock_.Now() + kBusyPause;
    return;
  }
  known.asked_.insert(aQuery.backends_.begin(), aQuery.backends_.end());
  for (const auto& [backend, ticket] : aResult.allowed_) {
    known.allowed_[backend] = Grant{ ticket, aSent + aResult.validFor_ };
  }
  changed_ = true;
}

std::string
AdviceBook::Ticket(const std::string& aStep, const std::string& aBackend) const
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
AdviceBook::Refused(const std::string& aStep, const std::string& aBackend)
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
AdviceBook::Forget(const std::string& aJob)
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
AdviceBook::TakeChanged()
{
  const bool changed = changed_;
  changed_ = false;
  return changed;
}

}
