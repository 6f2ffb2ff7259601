#include "document_patch_p.h"

#include <functional>

namespace sardinespoke {

namespace {

using nlohmann::json;

// A patch above this part of the document is not worth a second message when it does not fit.
constexpr size_t kMinShortening = 4;

}

uint64_t
TextDigest(const std::string& aText)
{
  return std::hash<std::string>{}(aText);
}

std::optional<json>
MakePatch(const std::string& aFrom, const std::string& aTo)
{
  const json from = json::parse(aFrom, nullptr, false);
  const json to = json::parse(aTo, nullptr, false);
  if (from.is_discarded() || to.is_discarded()) {
    return std::nullopt;
  }
  json patch = json::diff(from, to);
  if (patch.dump().size() * kMinShortening > aTo.size() || to.dump() != aTo) {
    return std::nullopt;
  }
  return patch;
}

std::optional<std::string>
ApplyPatch(const std::string& aFrom, const json& aPatch, uint64_t aDigest)
{
  try {
    std::string text = json::parse(aFrom).patch(aPatch).dump();
    if (TextDigest(text) == aDigest) {
      return text;
    }
  } catch (const json::exception&) {
    return std::nullopt;
  }
  return std::nullopt;
}

}
