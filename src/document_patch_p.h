#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace sardinespoke {

/// @returns A value that changes with the text; equal in all daemons of one build.
uint64_t
TextDigest(const std::string& aText);

/// @returns The changes from one document to another as a JSON Patch (RFC 6902); empty if it would
/// not be much shorter than the document, or if the texts are not written as Serialize() does.
std::optional<nlohmann::json>
MakePatch(const std::string& aFrom, const std::string& aTo);

/// @param aDigest Digest of the expected text.
/// @returns The changed document; empty if the patch does not fit or gives another text.
std::optional<std::string>
ApplyPatch(const std::string& aFrom, const nlohmann::json& aPatch, uint64_t aDigest);

}
