#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace sardinespoke {

/// One entry of the event log.
struct Event
{
  uint64_t sequence_ = 0;   ///< Increases by 1 per event within one process.
  uint64_t hybridTime_ = 0; ///< Hybrid logical clock, in microseconds since 1970; never decreases.
  std::string process_;     ///< Entry host id and incarnation.
  std::string type_;        ///< Such as "profiles.applied" or "host.drain_started".
  std::string cause_;       ///< Why the decision was taken.
  nlohmann::json detail_ = nlohmann::json::object();
};

/// Records the decisions and state changes of a process. Thread-safe; keeps the last 4,096 events.
class EventLogI
{
public:
  virtual ~EventLogI() = default;

  virtual void Record(const std::string& aType,
                      const std::string& aCause,
                      nlohmann::json aDetail) = 0;

  /// @returns The retained events with a greater sequence number, oldest first.
  virtual std::vector<Event> After(uint64_t aSequence) const = 0;

  /// Advances the hybrid clock and returns its time, which is attached to peer messages.
  virtual uint64_t HybridTime() = 0;

  /// Merges a peer's hybrid time, so that later local events sort after the peer's message.
  virtual void Observe(uint64_t aHybridTime) = 0;
};

}
