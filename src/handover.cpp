#include "sardinespoke/handover.h"

#include "bounded_json_p.h"
#include "number_range_p.h"
#include "sardinespoke/logging.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <tuple>

namespace sardinespoke {

namespace {

using nlohmann::json;

constexpr char kFence[] = "fence";
constexpr char kLeases[] = "leases";
constexpr char kStarts[] = "starts";
// A record may have 1 MiB; an entry takes about 150 bytes, with the longest keys 600.
constexpr size_t kMaxOpenStarts = 1000;

json
EncodeStart(const OpenStart& aStart)
{
  return json{ { "backend", aStart.backend_ }, { "host", aStart.host_ },
               { "task", aStart.task_ },       { "run", aStart.run_ },
               { "age", aStart.age_.count() }, { "blocks", aStart.blocksTask_ } };
}

/// @throws json::exception if a field is missing or of another type.
OpenStart
DecodeStart(const json& aValue)
{
  OpenStart start;
  start.backend_ = aValue.at("backend").get<std::string>();
  start.host_ = aValue.at("host").get<std::string>();
  start.task_ = aValue.at("task").get<std::string>();
  start.run_ = ReadInteger(aValue.at("run"), kSerialRange).value_or(0);
  start.age_ = std::chrono::milliseconds(ReadInteger(aValue.at("age"), kCountRange).value_or(0));
  start.blocksTask_ = aValue.at("blocks").get<bool>();
  return start;
}

}

std::string
Handover::Serialize() const
{
  json leases = json::object();
  for (const auto& [id, remaining] : remainingLeases_) {
    leases[id] = remaining.count();
  }
  json starts = json::array();
  for (const OpenStart& start : openStarts_) {
    starts.push_back(EncodeStart(start));
  }
  return json{ { kFence, fencingToken_ }, { kLeases, leases }, { kStarts, starts } }.dump();
}

void
Handover::LimitOpenStarts()
{
  if (openStarts_.size() <= kMaxOpenStarts) {
    return;
  }
  std::sort(
    openStarts_.begin(), openStarts_.end(), [](const OpenStart& aLeft, const OpenStart& aRight) {
      return std::tuple(!aLeft.blocksTask_, aLeft.age_) <
             std::tuple(!aRight.blocksTask_, aRight.age_);
    });
  Log(LogLevel::Warn,
      "handover.cut_off",
      { { "starts", openStarts_.size() }, { "kept", kMaxOpenStarts } });
  openStarts_.resize(kMaxOpenStarts);
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
    // An earlier release writes none.
    const json starts = value.value(kStarts, json::array());
    for (const json& start : starts.get_ref<const json::array_t&>()) {
      handover.openStarts_.push_back(DecodeStart(start));
      if (handover.openStarts_.back().run_ == 0) {
        handover.openStarts_.pop_back();
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
