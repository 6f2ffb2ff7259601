#include "sardinespoke/job.h"

#include <charconv>

namespace sardinespoke {

namespace {

bool
ConsumeNumber(const char*& aBegin, const char* aEnd, uint32_t& aNumber)
{
  if (aBegin == aEnd || *aBegin != '.') {
    return false;
  }
  const auto [next, error] = std::from_chars(aBegin + 1, aEnd, aNumber);
  aBegin = next;
  return error == std::errc();
}

}

std::string
TaskId::StepText() const
{
  return job_ + "." + std::to_string(occurrence_) + "." + std::to_string(step_);
}

std::string
TaskId::Text() const
{
  return StepText() + "." + std::to_string(index_);
}

bool
TaskId::Parse(const std::string& aText, TaskId& aId)
{
  const size_t dot = aText.find('.');
  if (dot == std::string::npos) {
    return false;
  }
  aId.job_ = aText.substr(0, dot);
  const char* begin = aText.data() + dot;
  const char* end = aText.data() + aText.size();
  return ConsumeNumber(begin, end, aId.occurrence_) && ConsumeNumber(begin, end, aId.step_) &&
         ConsumeNumber(begin, end, aId.index_) && begin == end;
}

}
