#include "run_record.h"

#include <algorithm>

namespace sardinespoke {

void
to_json(nlohmann::json& aJson, const RunEntry& aRun)
{
  aJson = { { "attempt", aRun.attempt_ },  { "request", aRun.requestId_ },
            { "service", aRun.service_ },  { "nonce", aRun.nonce_ },
            { "worker", aRun.worker_ },    { "status", aRun.status_ },
            { "start_us", aRun.startUs_ }, { "end_us", aRun.endUs_ } };
}

void
from_json(const nlohmann::json& aJson, RunEntry& aRun)
{
  aJson.at("attempt").get_to(aRun.attempt_);
  aJson.at("request").get_to(aRun.requestId_);
  aJson.at("service").get_to(aRun.service_);
  aJson.at("nonce").get_to(aRun.nonce_);
  aJson.at("worker").get_to(aRun.worker_);
  aJson.at("status").get_to(aRun.status_);
  aJson.at("start_us").get_to(aRun.startUs_);
  aJson.at("end_us").get_to(aRun.endUs_);
}

RunRecord::RunRecord(size_t aMaxRuns)
  : maxRuns_(aMaxRuns)
{
}

size_t
RunRecord::Start(RunEntry aRun)
{
  aRun.startUs_ = NowUs();
  const std::lock_guard lock(mutex_);
  if (runs_.size() >= maxRuns_) {
    ++dropped_;
    return maxRuns_;
  }
  runs_.push_back(std::move(aRun));
  return runs_.size() - 1;
}

void
RunRecord::Finish(size_t aIndex)
{
  const std::lock_guard lock(mutex_);
  if (aIndex < runs_.size()) {
    runs_[aIndex].endUs_ = NowUs();
  }
}

std::vector<RunEntry>
RunRecord::Runs(size_t aFrom, size_t aLimit) const
{
  const std::lock_guard lock(mutex_);
  const size_t first = std::min(aFrom, runs_.size());
  const size_t count = std::min(aLimit, runs_.size() - first);
  const auto begin = runs_.begin() + static_cast<std::ptrdiff_t>(first);
  return { begin, begin + static_cast<std::ptrdiff_t>(count) };
}

size_t
RunRecord::Size() const
{
  const std::lock_guard lock(mutex_);
  return runs_.size();
}

uint64_t
RunRecord::Dropped() const
{
  const std::lock_guard lock(mutex_);
  return dropped_;
}

int64_t
NowUs()
{
  const auto now = std::chrono::steady_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::microseconds>(now).count();
}

}
