#include "sardinespoke/progress_queue.h"

namespace sardinespoke {

void
ProgressQueue::Add(uint32_t aJob)
{
  if (numbers_.emplace(aJob, lastNumber_ + 1).second) {
    jobs_[++lastNumber_] = aJob;
  }
}

void
ProgressQueue::PutBack(const Entry& aEntry)
{
  const auto [known, isNew] = numbers_.emplace(aEntry.job_, aEntry.number_);
  if (!isNew) {
    jobs_.erase(known->second); // It changed again meanwhile; one entry covers both changes.
    known->second = aEntry.number_;
  }
  jobs_[aEntry.number_] = aEntry.job_;
}

bool
ProgressQueue::Take(uint32_t aJob, Entry& aEntry)
{
  const auto found = numbers_.find(aJob);
  if (found == numbers_.end()) {
    return false;
  }
  aEntry = Entry{ found->second, aJob };
  jobs_.erase(found->second);
  numbers_.erase(found);
  return true;
}

ProgressQueue::Entry
ProgressQueue::TakeFirst()
{
  const auto first = jobs_.begin();
  const Entry entry{ first->first, first->second };
  numbers_.erase(entry.job_);
  jobs_.erase(first);
  return entry;
}

bool
ProgressQueue::HasTakenUpTo(uint64_t aNumber) const
{
  return jobs_.empty() || jobs_.begin()->first > aNumber;
}

}
