#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace sardinespoke {

/// Checkpoints that simulated backend servers have produced, and a check of those that starts
/// carry.
class CheckpointLedger
{
public:
  /// @returns A new checkpoint of a task at this progress (0 to 1).
  std::string Save(const std::string& aTask, double aProgress);

  /// Checks the checkpoint of a start.
  /// @param aIsGang The checkpoint may be of any task of the step; one run has the same everywhere.
  /// @returns What is wrong with it; empty if nothing is.
  std::string CheckStart(const std::string& aTask,
                         int64_t aRun,
                         const std::string& aCheckpoint,
                         bool aIsGang);

  /// @returns The progress from which a run with this checkpoint resumes; 0 if there is none.
  double ProgressOf(const std::string& aCheckpoint) const;

private:
  struct Saved
  {
    std::string task_;
    double progress_ = 0.0;
  };
  std::map<std::string, Saved> saved_;
  /// Checkpoint of the first start of each gang run, by step and run.
  std::map<std::pair<std::string, int64_t>, std::string> gangCheckpoints_;
};

}
