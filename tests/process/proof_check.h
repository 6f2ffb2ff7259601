#pragma once

#include "history_checker.h"

#include <cstdint>
#include <string>
#include <vector>

namespace sardinespoke {

/// Time windows in which faults affect requests. Requests that overlap a window are left out of the
/// counts "outside faults".
class FaultWindows
{
public:
  /// Starts a window now.
  void Open();

  /// Ends the last window now; requests that have started by then belong to it.
  void Close();

  /// @returns Whether an interval overlaps a window.
  bool Overlaps(int64_t aStartUs, int64_t aEndUs) const;

private:
  struct Window
  {
    int64_t startUs_ = 0;
    int64_t endUs_ = INT64_MAX;
  };

  std::vector<Window> windows_;
};

/// Counts of a history and the violations found in it.
struct ProofResult
{
  HistoryVerdict verdict_;
  uint64_t ok_ = 0;
  uint64_t notRun_ = 0;
  uint64_t unknown_ = 0;
  uint64_t alreadyRun_ = 0;
  uint64_t outsideFaults_ = 0;        ///< Requests that overlap no fault window.
  uint64_t unknownOutsideFaults_ = 0; ///< Those of outsideFaults_ with an unknown outcome.
  uint64_t aborted_ = 0;              ///< Ended by a lost connection or a failed transfer.
  std::string firstAborted_;          ///< Status and duration of the first aborted request.
  uint64_t idUnknown_ = 0;            ///< Rejected with 409: the issuer of the id is gone.

  uint64_t Count(ViolationKind aKind) const;

  /// @returns The counts and the first violations on one line.
  std::string Summary() const;
};

/// Checks a history against the workers' record of runs.
/// @param aControl Control address of the stand-in workers.
ProofResult
CheckProof(const std::vector<HistoryLine>& aHistory,
           const std::string& aControl,
           const FaultWindows& aWindows = {});

/// Checks a history against a given record of runs.
ProofResult
CheckProof(const std::vector<HistoryLine>& aHistory,
           const std::vector<RunEntry>& aRuns,
           uint64_t aDropped,
           const FaultWindows& aWindows = {});

/// Prints the measurements of a test, for docs/proof.md.
void
PrintFigures(const std::string& aTest, const std::string& aFigures);

}
