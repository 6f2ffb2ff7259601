#include "document_patch_p.h"

#include <functional>
#include <nlohmann/json.hpp>

namespace sardinespoke {

namespace {

using nlohmann::json;

uint64_t
Hash(const std::string& aText)
{
  return std::hash<std::string>{}(aText);
}

}

std::optional<DocumentPatch>
MakeDocumentPatch(uint64_t aBase, const std::string& aFrom, const std::string& aTo)
{
  const json from = json::parse(aFrom, nullptr, false);
  const json to = json::parse(aTo, nullptr, false);
  if (from.is_discarded() || to.is_discarded() || to.dump() != aTo) {
    return std::nullopt;
  }
  DocumentPatch patch{ aBase, json::diff(from, to).dump(), Hash(aTo) };
  if (patch.operations_.size() >= aTo.size()) {
    return std::nullopt;
  }
  return patch;
}

std::optional<std::string>
ApplyDocumentPatch(const std::string& aFrom, const DocumentPatch& aPatch)
{
  try {
    const std::string text = json::parse(aFrom).patch(json::parse(aPatch.operations_)).dump();
    return Hash(text) == aPatch.resultHash_ ? std::optional(text) : std::nullopt;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

}
