#pragma once

#include "history.h"
#include "run_record.h"

#include <cstdint>
#include <string>
#include <vector>

namespace sardinespoke {

/// A property that a history breaks.
enum class ViolationKind
{
  NotRunButRan,      ///< P4: told "not run", but a worker ran it.
  RanTwice,          ///< P5: non-idempotent and run more than once.
  WrongAnswer,       ///< P3: a partial answer or another request's.
  AnsweredButNotRun, ///< Told "ok" or "already run", but no worker ran it.
  RunWithoutInvoke,  ///< A worker ran a request that no caller sent.
  BadHistory,        ///< An end without a start, or two ends of one request.
  RecordIncomplete,  ///< The record dropped runs; the check proves nothing.
  Count
};

/// @returns The kind's name: "not-run-but-ran" and so on.
const char*
ViolationName(ViolationKind aKind);

/// One violation.
struct Violation
{
  ViolationKind kind_ = ViolationKind::BadHistory;
  std::string nonce_;
  std::string detail_;
};

/// Verdict on a history.
struct HistoryVerdict
{
  std::vector<Violation> violations_;
  uint64_t requests_ = 0;
  uint64_t runs_ = 0;
  uint64_t unfinished_ = 0; ///< Requests without an end: their caller was ended.
};

/// Compares what callers were told with what the workers ran.
/// @param aDropped Runs missing in the record.
HistoryVerdict
CheckHistory(const std::vector<HistoryLine>& aHistory,
             const std::vector<RunEntry>& aRuns,
             uint64_t aDropped);

}
