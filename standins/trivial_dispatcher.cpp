#include "trivial_dispatcher.h"

#include <utility>

namespace sardinespoke {

namespace {

constexpr std::chrono::milliseconds kDefaultWait{ 2600 };

}

TrivialDispatcher::TrivialDispatcher(std::vector<std::string> aAddresses,
                                     uint32_t aSlots,
                                     std::chrono::milliseconds aRunLimit)
  : addresses_(std::move(aAddresses))
  , slots_(aSlots)
  , runLimit_(aRunLimit)
  , used_(addresses_.size(), 0)
{
}

size_t
TrivialDispatcher::PickWorker(const std::string& aAvoid)
{
  size_t best = addresses_.size();
  for (size_t i = 0; i < addresses_.size(); ++i) {
    const size_t worker = (next_ + i) % addresses_.size();
    if (used_[worker] >= slots_ || (addresses_[worker] == aAvoid && addresses_.size() > 1)) {
      continue;
    }
    if (best == addresses_.size() || used_[worker] < used_[best]) {
      best = worker;
    }
  }
  next_ = (next_ + 1) % addresses_.size();
  return best;
}

leaf::result<Grant>
TrivialDispatcher::Acquire(const WorkItem& aItem)
{
  const auto wait = aItem.deadline_.count() > 0 ? aItem.deadline_ : kDefaultWait;
  std::unique_lock lock(mutex_);
  size_t worker = addresses_.size();
  const bool found = slotFreed_.wait_for(lock, wait, [&] {
    worker = PickWorker(aItem.avoidHost_);
    return worker < addresses_.size();
  });
  if (!found) {
    return leaf::new_error(
      AdmissionError{ AdmissionError::Code::DeadlineUnreachable, "no free slot" });
  }
  ++used_[worker];
  Grant grant;
  grant.id_ = nextId_++;
  grant.host_ = addresses_[worker];
  grant.address_ = addresses_[worker];
  grant.runLimit_ = runLimit_;
  grants_.emplace(grant.id_, worker);
  return grant;
}

bool
TrivialDispatcher::MayStart(const Grant&)
{
  return true;
}

void
TrivialDispatcher::Release(const Grant& aGrant, AttemptResult, std::chrono::nanoseconds)
{
  {
    const std::lock_guard lock(mutex_);
    const auto found = grants_.find(aGrant.id_);
    if (found == grants_.end()) {
      return;
    }
    --used_[found->second];
    grants_.erase(found);
  }
  slotFreed_.notify_one();
}

}
