#include "sardinespoke/admission_queue.h"

#include <algorithm>

namespace sardinespoke {

std::optional<AdmissionError::Code>
AdmissionQueue::Add(const std::string& aProfile,
                    QueuedItem aItem,
                    const QueueLimits& aLimits,
                    TimePoint aNow)
{
  ProfileQueue& queue = queues_[aProfile];
  if (queue.items_.size() >= aLimits.length_) {
    return AdmissionError::Code::QueueFull;
  }
  const bool front = aItem.item_.retry_;
  const auto wait = front ? std::chrono::nanoseconds(0) : EstimateWait(aProfile, aLimits.slots_);
  if (aNow + wait > aItem.deadline_) {
    return AdmissionError::Code::DeadlineUnreachable;
  }
  const uint64_t ticket = aItem.ticket_;
  byDeadline_.emplace(aItem.deadline_, ticket);
  queue.cost_ += aItem.cost_;
  const auto place = front ? queue.items_.begin() : queue.items_.end();
  byTicket_[ticket] = { &queue, queue.items_.insert(place, std::move(aItem)) };
  return std::nullopt;
}

std::chrono::nanoseconds
AdmissionQueue::EstimateWait(const std::string& aProfile, uint32_t aSlots) const
{
  const auto queue = queues_.find(aProfile);
  return queue == queues_.end() ? std::chrono::nanoseconds(0)
                                : queue->second.cost_ / std::max(aSlots, 1U);
}

bool
AdmissionQueue::Cancel(uint64_t aTicket)
{
  if (!byTicket_.contains(aTicket)) {
    return false;
  }
  Remove(aTicket);
  return true;
}

std::vector<QueuedItem>
AdmissionQueue::Expire(TimePoint aNow)
{
  std::vector<QueuedItem> expired;
  while (!byDeadline_.empty() && byDeadline_.begin()->first <= aNow) {
    expired.push_back(Remove(byDeadline_.begin()->second));
  }
  return expired;
}

std::vector<QueuedItem>
AdmissionQueue::TakeCancelled()
{
  std::vector<uint64_t> tickets;
  for (const auto& [ticket, position] : byTicket_) {
    const auto& flag = position.item_->item_.cancelled_;
    if (flag != nullptr && flag->load(std::memory_order_relaxed)) {
      tickets.push_back(ticket);
    }
  }
  std::vector<QueuedItem> cancelled;
  cancelled.reserve(tickets.size());
  for (const uint64_t ticket : tickets) {
    cancelled.push_back(Remove(ticket));
  }
  return cancelled;
}

std::vector<std::pair<std::string, QueuedItem>>
AdmissionQueue::TakeAll()
{
  std::vector<std::pair<std::string, QueuedItem>> all;
  for (auto& [profile, queue] : queues_) {
    while (!queue.items_.empty()) {
      all.emplace_back(profile, Remove(queue.items_.front().ticket_));
    }
  }
  queues_.clear();
  return all;
}

size_t
AdmissionQueue::ChooseNext(const std::vector<std::pair<std::string, uint32_t>>& aCandidates)
{
  // With a quantum equal to the largest cost at a queue's front, every candidate can send at least
  // one request per round, so the loop terminates within two rounds.
  std::chrono::nanoseconds quantum{ 1 };
  uint32_t leastWeight = UINT32_MAX;
  for (const auto& [profile, weight] : aCandidates) {
    quantum = std::max(quantum, queues_[profile].items_.front().cost_);
    leastWeight = std::min(leastWeight, std::max(weight, 1U));
  }
  size_t next = 0;
  while (next < aCandidates.size() && aCandidates[next].first < lastServed_) {
    ++next;
  }
  for (;; ++next) {
    const auto& [profile, weight] = aCandidates[next % aCandidates.size()];
    ProfileQueue& queue = queues_[profile];
    if (queue.deficit_ >= queue.items_.front().cost_) {
      lastServed_ = profile;
      return next % aCandidates.size();
    }
    queue.deficit_ += quantum * std::max(weight, 1U) / leastWeight;
  }
}

const QueuedItem*
AdmissionQueue::Front(const std::string& aProfile) const
{
  const auto queue = queues_.find(aProfile);
  return queue == queues_.end() || queue->second.items_.empty() ? nullptr
                                                                : &queue->second.items_.front();
}

QueuedItem
AdmissionQueue::Pop(const std::string& aProfile)
{
  ProfileQueue& queue = queues_[aProfile];
  QueuedItem item = Remove(queue.items_.front().ticket_);
  queue.deficit_ = std::max(queue.deficit_ - item.cost_, std::chrono::nanoseconds(0));
  if (queue.items_.empty()) {
    queue.deficit_ = std::chrono::nanoseconds(0);
  }
  return item;
}

size_t
AdmissionQueue::Length(const std::string& aProfile) const
{
  const auto queue = queues_.find(aProfile);
  return queue == queues_.end() ? 0 : queue->second.items_.size();
}

QueuedItem
AdmissionQueue::Remove(uint64_t aTicket)
{
  const auto found = byTicket_.find(aTicket);
  const Position position = found->second;
  byTicket_.erase(found);
  QueuedItem item = std::move(*position.item_);
  position.queue_->cost_ -= item.cost_;
  position.queue_->items_.erase(position.item_);
  byDeadline_.erase({ item.deadline_, aTicket });
  return item;
}

}
