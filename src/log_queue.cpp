#include "sardinespoke/log_queue.h"

namespace sardinespoke {

LogQueue::LogQueue(size_t aCapacity, size_t aReserve)
  : capacity_(aCapacity)
  , reserve_(aReserve)
{
}

bool
LogQueue::Fits(size_t aBytes, bool aIsImportant) const
{
  return bytes_ + aBytes <= (aIsImportant ? capacity_ : capacity_ - reserve_);
}

bool
LogQueue::Push(std::string aLine, bool aIsImportant)
{
  if (!Fits(aLine.size(), aIsImportant)) {
    ++dropped_;
    return false;
  }
  bytes_ += aLine.size();
  lines_.push_back(std::move(aLine));
  return true;
}

void
LogQueue::Drain(const std::function<size_t(std::string_view)>& aWrite)
{
  while (!lines_.empty()) {
    const std::string& line = lines_.front();
    const size_t taken = aWrite(std::string_view(line).substr(written_));
    if (taken == 0) {
      return;
    }
    written_ += taken;
    if (written_ < line.size()) {
      continue;
    }
    bytes_ -= line.size();
    written_ = 0;
    lines_.pop_front();
  }
}

}
