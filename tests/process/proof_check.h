#pragma once

#include "history_checker.h"

#include <cstdint>
#include <string>
#include <vector>

namespace sardinespoke {

/// Times in which a fault acted on requests; ends of requests that overlap one are not counted as
/// "outside fault windows".
class FaultWindows
{
public:
  /// A fault begins now.
  void Open();

  /// Its effect ended now; requests that started until then belong to the window.
  void Close();

  /// @returns Whether a time span overlaps a window.
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
  uint64_t unknownOutsideFaults_ = 0; ///< Of these, the ones that ended with "unknown".
  uint64_t aborted_ = 0;              ///< Ended by a broken connection or a failed transfer.
  std::string firstAborted_;          ///< Status and duration of the first of these.
  uint64_t idUnknown_ = 0;            ///< Refused with 409: the issuer of the id is gone.

  uint64_t Count(ViolationKind aKind) const;

  /// @returns The figures and the first violations on one line.
  std::string Summary() const;
};

/// Checks a history against the record of the workers.
/// @param aControl Control address of the stand-in workers.
ProofResult
CheckProof(const std::vector<HistoryLine>& aHistory,
           const std::string& aControl,
           const FaultWindows& aWindows = {});

/// Counts a history that was checked against a given record.
ProofResult
CheckProof(const std::vector<HistoryLine>& aHistory,
           const std::vector<RunEntry>& aRuns,
           uint64_t aDropped,
           const FaultWindows& aWindows = {});

/// Prints the figures of a test, for docs/proof.md.
void
PrintFigures(const std::string& aTest, const std::string& aFigures);

}
