#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <unordered_map>

namespace sardinespoke {

/// Jobs whose progress waits to be written, each once, in the order of their first change.
/// All operations take constant or logarithmic time.
class ProgressQueue
{
public:
  /// A job and the position of its first change that is not yet written.
  struct Entry
  {
    uint64_t number_ = 0;
    uint32_t job_ = 0;
  };

  /// Adds a job at the end; no effect if it is queued.
  void Add(uint32_t aJob);

  /// Puts back an entry that was taken, at its former position.
  void PutBack(const Entry& aEntry);

  /// Removes a job out of turn.
  /// @returns False if it is not queued.
  bool Take(uint32_t aJob, Entry& aEntry);

  /// Removes the first entry; the queue must not be empty.
  Entry TakeFirst();

  bool IsEmpty() const { return jobs_.empty(); }
  size_t Size() const { return jobs_.size(); }

  /// Number of the newest entry ever added; 0 if there was none.
  uint64_t LastNumber() const { return lastNumber_; }

  /// @returns True if no entry with this or a lower number is queued.
  bool HasTakenUpTo(uint64_t aNumber) const;

  /// Queued jobs by number.
  const std::map<uint64_t, uint32_t>& Jobs() const { return jobs_; }

private:
  std::map<uint64_t, uint32_t> jobs_;
  std::unordered_map<uint32_t, uint64_t> numbers_; ///< By job.
  uint64_t lastNumber_ = 0;
};

}
