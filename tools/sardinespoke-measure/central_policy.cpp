#include "central_policy.h"

#include <algorithm>
#include <utility>

namespace sardinespoke {

CentralPolicy::CentralPolicy(const FloodScenario& aScenario, Order aOrder)
  : scenario_(aScenario)
  , order_(aOrder)
  , lines_(std::max(aScenario.queues_.size(), static_cast<size_t>(Urgency::Count)))
  , busy_(aScenario.workers_, 0)
{
}

void
CentralPolicy::Submit(const PolicyRequest& aRequest, TimePoint aNow)
{
  const Waiting waiting{ aRequest.id_, aNow + aRequest.deadline_ };
  std::deque<Waiting>& line = lines_[LineOf(aRequest.queue_)];
  const size_t limit = Profile().queueLength_ * scenario_.entryHosts_;
  if (line.size() >= limit) {
    decisions_.push_back({ aRequest.id_, std::nullopt, false });
    return;
  }
  line.push_back(waiting);
  Dispatch();
}

void
CentralPolicy::Release(uint64_t aRequest, AttemptResult, std::chrono::nanoseconds, TimePoint)
{
  --busy_[workerOf_.at(aRequest)];
  workerOf_.erase(aRequest);
  Dispatch();
}

void
CentralPolicy::Tick(TimePoint aNow)
{
  for (std::deque<Waiting>& line : lines_) {
    while (!line.empty() && line.front().deadline_ <= aNow) {
      decisions_.push_back({ line.front().id_, std::nullopt, false });
      line.pop_front();
    }
  }
}

std::vector<PolicyDecision>
CentralPolicy::TakeDecisions()
{
  return std::exchange(decisions_, {});
}

size_t
CentralPolicy::LineOf(size_t aQueue) const
{
  switch (order_) {
    case Order::StaticPools:
      return aQueue;
    case Order::StrictPriority:
      return static_cast<size_t>(scenario_.queues_[aQueue].urgency_);
    case Order::FirstCome:
    case Order::Count:
      break;
  }
  return 0;
}

std::optional<size_t>
CentralPolicy::FreeWorker(size_t aLine) const
{
  size_t begin = 0;
  size_t end = busy_.size();
  if (order_ == Order::StaticPools) {
    const size_t each = busy_.size() / scenario_.queues_.size();
    begin = aLine * each;
    end = begin + each;
  }
  const auto first = busy_.begin() + static_cast<std::ptrdiff_t>(begin);
  const auto last = busy_.begin() + static_cast<std::ptrdiff_t>(end);
  const auto least = std::min_element(first, last);
  if (*least >= scenario_.slotsPerWorker_) {
    return std::nullopt;
  }
  return static_cast<size_t>(least - busy_.begin());
}

void
CentralPolicy::Dispatch()
{
  for (size_t index = 0; index < lines_.size(); ++index) {
    std::deque<Waiting>& line = lines_[index];
    while (!line.empty()) {
      const std::optional<size_t> worker = FreeWorker(index);
      if (!worker.has_value()) {
        break;
      }
      ++busy_[*worker];
      workerOf_[line.front().id_] = *worker;
      decisions_.push_back({ line.front().id_, worker, false });
      line.pop_front();
    }
  }
}

}
