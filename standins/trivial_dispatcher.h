#pragma once

#include "sardinespoke/dispatcher.h"

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace sardinespoke {

/// Dispatcher for measuring the gateway in isolation: one pool for all services, the least loaded
/// worker first, without fairness between services and without the fleet document.
class TrivialDispatcher final : public DispatcherI
{
public:
  TrivialDispatcher(std::vector<std::string> aAddresses,
                    uint32_t aSlots,
                    std::chrono::milliseconds aRunLimit);

  leaf::result<Grant> Acquire(const WorkItem& aItem) override;
  bool MayStart(const Grant& aGrant) override;
  void Release(const Grant& aGrant,
               AttemptResult aResult,
               std::chrono::nanoseconds aRunTime) override;

private:
  /// @param aAvoid Address of a worker that is used only if it is the only one.
  /// @returns The worker with the most free slots, or the number of workers if all are full.
  size_t PickWorker(const std::string& aAvoid);

  const std::vector<std::string> addresses_;
  const uint32_t slots_;
  const std::chrono::milliseconds runLimit_;
  std::mutex mutex_;
  std::condition_variable slotFreed_;
  std::vector<uint32_t> used_;
  std::map<uint64_t, size_t> grants_;
  size_t next_ = 0; ///< Start of the search, so that equally loaded workers are used in rotation.
  uint64_t nextId_ = 1;
};

}
