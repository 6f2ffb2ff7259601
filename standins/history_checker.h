#pragma once

#include "history.h"
#include "run_record.h"

#include <cstdint>
#include <string>
#include <vector>

namespace sardinespoke {

/// Invariant that a history violates; P3 to P5 are the numbered properties of the design.
enum class ViolationKind
{
  NotRunButRan,      ///< P4: reported as "not run", but a worker ran it.
  RanTwice,          ///< P5: a non-idempotent request ran more than once.
  WrongAnswer,       ///< P3: a truncated response or that of another request.
  AnsweredButNotRun, ///< Reported as "ok" or "already run", but no worker ran it.
  RunWithoutInvoke,  ///< A worker ran a request that no caller sent.
  BadHistory,        ///< An outcome without an invoke, or two invokes or outcomes of one request.
  RecordIncomplete,  ///< The run record dropped entries, so violations may be missed.
  Count
};

/// @returns The name of a kind, such as "not-run-but-ran".
const char*
ViolationName(ViolationKind aKind);

/// A violation found in a history.
struct Violation
{
  ViolationKind kind_ = ViolationKind::BadHistory;
  std::string nonce_;
  std::string detail_;
};

/// Result of checking a history.
struct HistoryVerdict
{
  std::vector<Violation> violations_;
  uint64_t requests_ = 0;
  uint64_t runs_ = 0;
  uint64_t unfinished_ = 0; ///< Requests without an outcome, because their caller was terminated.
};

/// Compares the outcomes reported to callers with the runs recorded by the workers.
/// @param aDropped Number of runs that are missing in the record.
HistoryVerdict
CheckHistory(const std::vector<HistoryLine>& aHistory,
             const std::vector<RunEntry>& aRuns,
             uint64_t aDropped);

}
