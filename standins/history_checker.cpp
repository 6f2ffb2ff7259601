#include "history_checker.h"

#include <array>
#include <map>
#include <optional>

namespace sardinespoke {

namespace {

constexpr std::array<const char*, static_cast<size_t>(ViolationKind::Count)> kNames{
  "not-run-but-ran",    "ran-twice",   "wrong-answer",     "answered-but-not-run",
  "run-without-invoke", "bad-history", "record-incomplete"
};

/// History lines and runs of one request.
struct Request
{
  std::optional<HistoryLine> invoke_;
  std::optional<HistoryLine> end_;
  std::vector<const RunEntry*> runs_;
};

/// Groups lines and runs by nonce, then checks each request.
class Checker
{
public:
  explicit Checker(HistoryVerdict& aVerdict)
    : verdict_(aVerdict)
  {
  }

  void Add(const HistoryLine& aLine)
  {
    Request& request = requests_[aLine.nonce_];
    auto& place = aLine.type_ == HistoryType::Invoke ? request.invoke_ : request.end_;
    if (place) {
      Report(ViolationKind::BadHistory, aLine.nonce_, "more than one invoke or outcome");
    }
    place = aLine;
  }

  void Add(const RunEntry& aRun) { requests_[aRun.nonce_].runs_.push_back(&aRun); }

  void Check()
  {
    for (const auto& [nonce, request] : requests_) {
      CheckRequest(nonce, request);
    }
  }

private:
  void Report(ViolationKind aKind, const std::string& aNonce, std::string aDetail)
  {
    verdict_.violations_.push_back(Violation{ aKind, aNonce, std::move(aDetail) });
  }

  void CheckRequest(const std::string& aNonce, const Request& aRequest)
  {
    verdict_.runs_ += aRequest.runs_.size();
    if (!aRequest.invoke_) {
      const bool ended = aRequest.end_.has_value();
      Report(ended ? ViolationKind::BadHistory : ViolationKind::RunWithoutInvoke,
             aNonce,
             ended ? "outcome without an invoke" : Attempts(aRequest));
      return;
    }
    ++verdict_.requests_;
    if (!aRequest.invoke_->idempotent_ && aRequest.runs_.size() > 1) {
      Report(ViolationKind::RanTwice, aNonce, Attempts(aRequest));
    }
    if (!aRequest.end_) {
      ++verdict_.unfinished_;
      return;
    }
    CheckEnd(aNonce, aRequest);
  }

  void CheckEnd(const std::string& aNonce, const Request& aRequest)
  {
    const HistoryLine& end = *aRequest.end_;
    const bool ran = !aRequest.runs_.empty();
    if (end.type_ == HistoryType::NotRun && ran) {
      Report(ViolationKind::NotRunButRan, aNonce, Attempts(aRequest));
    }
    const bool answered = end.type_ == HistoryType::Ok || end.type_ == HistoryType::AlreadyRun;
    if (answered && !ran) {
      Report(ViolationKind::AnsweredButNotRun, aNonce, HistoryTypeName(end.type_));
    }
    if (end.type_ == HistoryType::Ok && end.answer_ != ResponseCheck::Right) {
      Report(ViolationKind::WrongAnswer, aNonce, "status " + std::to_string(end.status_));
    }
  }

  static std::string Attempts(const Request& aRequest)
  {
    std::string text = "attempts";
    for (const RunEntry* run : aRequest.runs_) {
      text += " " + run->attempt_;
    }
    return text;
  }

  HistoryVerdict& verdict_;
  std::map<std::string, Request> requests_;
};

}

const char*
ViolationName(ViolationKind aKind)
{
  return kNames.at(static_cast<size_t>(aKind));
}

HistoryVerdict
CheckHistory(const std::vector<HistoryLine>& aHistory,
             const std::vector<RunEntry>& aRuns,
             uint64_t aDropped)
{
  HistoryVerdict verdict;
  Checker checker(verdict);
  for (const HistoryLine& line : aHistory) {
    checker.Add(line);
  }
  for (const RunEntry& run : aRuns) {
    checker.Add(run);
  }
  checker.Check();
  if (aDropped > 0) {
    verdict.violations_.push_back(
      Violation{ ViolationKind::RecordIncomplete,
                 "",
                 std::to_string(aDropped) + " runs are missing in the record" });
  }
  return verdict;
}

}
