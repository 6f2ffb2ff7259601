#include "document_patch_p.h"

#include "bounded_json_p.h"

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
  const json from = ParseJson(aFrom);
  const json to = ParseJson(aTo);
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
    const std::string text = ParseJson(aFrom).patch(ParseJson(aPatch.operations_)).dump();
    return Hash(text) == aPatch.resultHash_ ? std::optional(text) : std::nullopt;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

}
