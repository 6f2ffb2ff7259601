#include "history.h"

#include <algorithm>
#include <array>
#include <istream>
#include <ostream>

namespace sardinespoke {

namespace {

constexpr std::array<const char*, static_cast<size_t>(HistoryType::Count)>
  kTypeNames{ "invoke", "ok", "not-run", "unknown", "already-run" };
constexpr std::array<const char*, static_cast<size_t>(ResponseCheck::Count)> kAnswerNames{
  "none",
  "right",
  "wrong"
};

/// @returns The index of the name. Throws nlohmann::json::exception if it is unknown.
template<typename Names>
size_t
IndexOf(const Names& aNames, const nlohmann::json& aJson)
{
  const auto name = aJson.get<std::string>();
  const auto found = std::find(aNames.begin(), aNames.end(), name);
  if (found == aNames.end()) {
    throw nlohmann::json::other_error::create(501, "unknown value " + name, &aJson);
  }
  return static_cast<size_t>(found - aNames.begin());
}

}

const char*
HistoryTypeName(HistoryType aType)
{
  return kTypeNames.at(static_cast<size_t>(aType));
}

void
to_json(nlohmann::json& aJson, const HistoryLine& aLine)
{
  aJson = { { "type", HistoryTypeName(aLine.type_) },
            { "nonce", aLine.nonce_ },
            { "service", aLine.service_ },
            { "request", aLine.requestId_ },
            { "idempotent", aLine.idempotent_ },
            { "answer", kAnswerNames.at(static_cast<size_t>(aLine.answer_)) },
            { "status", aLine.status_ },
            { "tries", aLine.tries_ },
            { "time_us", aLine.timeUs_ } };
}

void
from_json(const nlohmann::json& aJson, HistoryLine& aLine)
{
  aLine.type_ = static_cast<HistoryType>(IndexOf(kTypeNames, aJson.at("type")));
  aLine.answer_ = static_cast<ResponseCheck>(IndexOf(kAnswerNames, aJson.at("answer")));
  aJson.at("nonce").get_to(aLine.nonce_);
  aJson.at("service").get_to(aLine.service_);
  aJson.at("request").get_to(aLine.requestId_);
  aJson.at("idempotent").get_to(aLine.idempotent_);
  aJson.at("status").get_to(aLine.status_);
  aJson.at("tries").get_to(aLine.tries_);
  aJson.at("time_us").get_to(aLine.timeUs_);
}

HistoryWriter::HistoryWriter(std::ostream* aOut)
  : out_(aOut)
{
}

void
HistoryWriter::Write(const HistoryLine& aLine)
{
  if (!out_) {
    return;
  }
  const std::string text = nlohmann::json(aLine).dump();
  const std::lock_guard lock(mutex_);
  *out_ << text << '\n';
}

std::vector<HistoryLine>
ReadHistory(std::istream& aIn)
{
  std::vector<HistoryLine> lines;
  std::string text;
  while (std::getline(aIn, text)) {
    lines.push_back(nlohmann::json::parse(text).get<HistoryLine>());
  }
  return lines;
}

}
