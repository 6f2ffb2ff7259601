#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace sardinespoke {

/// One entry of the time line.
struct Event
{
  uint64_t sequence_ = 0;   ///< Counts up within one process.
  uint64_t hybridTime_ = 0; ///< Hybrid logical clock: microseconds since 1970, never decreasing.
  std::string process_;     ///< Entry host id and incarnation.
  std::string type_;        ///< Such as "profiles.applied" or "host.drain_started".
  std::string cause_;       ///< Why the decision was taken.
  nlohmann::json detail_ = nlohmann::json::object();
};

/// Records events for the time line. Thread-safe; keeps the last 4,096.
class EventLogI
{
public:
  virtual ~EventLogI() = default;

  virtual void Record(const std::string& aType,
                      const std::string& aCause,
                      nlohmann::json aDetail) = 0;

  /// @returns Kept events with a greater sequence, oldest first.
  virtual std::vector<Event> After(uint64_t aSequence) const = 0;

  /// @returns The current hybrid time, to be sent with peer messages.
  virtual uint64_t HybridTime() = 0;

  /// Takes over a peer's hybrid time, so that later local events sort after the message.
  virtual void Observe(uint64_t aHybridTime) = 0;
};

}
