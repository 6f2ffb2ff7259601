#pragma once

#include "sardinespoke/event_log.h"

#include <deque>
#include <functional>
#include <mutex>

namespace sardinespoke {

/// In-memory ring of the latest events. Timestamps come from a hybrid logical clock: the wall clock
/// in microseconds, but always above every time returned or observed before.
class EventLogRing final : public EventLogI
{
public:
  static constexpr size_t kCapacity = 4096;
  /// A peer's time further ahead than this is ignored, so that one wrong clock does not affect all.
  static constexpr uint64_t kMaxAheadMicroseconds = 60'000'000;

  /// @param aProcess Entry host id and incarnation.
  /// @param aWallMicroseconds Returns microseconds since 1970; the system clock if empty.
  explicit EventLogRing(std::string aProcess,
                        std::function<uint64_t()> aWallMicroseconds = nullptr);

  void Record(const std::string& aType, const std::string& aCause, nlohmann::json aDetail) override;
  std::vector<Event> After(uint64_t aSequence) const override;
  uint64_t HybridTime() override;
  void Observe(uint64_t aHybridTime) override;

private:
  uint64_t NextTime();

  const std::string process_;
  const std::function<uint64_t()> wallMicroseconds_;
  mutable std::mutex mutex_;
  std::deque<Event> events_;
  uint64_t sequence_ = 0;
  uint64_t lastTime_ = 0;
};

}
