#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace sardinespoke {

/// The difference between two revisions of a document (JSON Patch, RFC 6902).
struct DocumentPatch
{
  uint64_t base_ = 0;       ///< Revision that the patch applies to.
  std::string operations_;  ///< JSON text.
  uint64_t resultHash_ = 0; ///< Hash of the patched text.
};

/// @returns The patch from one text to the other; empty if a text is not in the canonical
/// serialization, or if the patch would not be smaller than the document.
std::optional<DocumentPatch>
MakeDocumentPatch(uint64_t aBase, const std::string& aFrom, const std::string& aTo);

/// @returns The patched text; empty if the patch does not apply or the result differs from the
/// sender's document.
std::optional<std::string>
ApplyDocumentPatch(const std::string& aFrom, const DocumentPatch& aPatch);

}
