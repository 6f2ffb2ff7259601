#include "sardinespoke/handover.h"

#include "bounded_json_p.h"
#include "number_range_p.h"
#include "sardinespoke/logging.h"

#include <nlohmann/json.hpp>

namespace sardinespoke {

namespace {

using nlohmann::json;

constexpr char kFence[] = "fence";
constexpr char kLeases[] = "leases";

}

std::string
Handover::Serialize() const
{
  json leases = json::object();
  for (const auto& [id, remaining] : remainingLeases_) {
    leases[id] = remaining.count();
  }
  return json{ { kFence, fencingToken_ }, { kLeases, leases } }.dump();
}

Handover
Handover::Parse(const std::string& aText)
{
  const json value = ParseJson(aText);
  Handover handover;
  try {
    const auto fencingToken = ReadInteger(value.at(kFence), kSerialRange);
    for (const auto& [id, left] : value.at(kLeases).get_ref<const json::object_t&>()) {
      const auto remaining = ReadInteger(left, kCountRange);
      if (remaining) {
        handover.remainingLeases_[id] = std::chrono::milliseconds(*remaining);
      }
    }
    handover.fencingToken_ = fencingToken.value_or(0);
  } catch (const json::exception& failure) {
    Log(LogLevel::Warn, "handover.unreadable", { { "error", failure.what() } });
    return Handover{};
  }
  return handover;
}

}
