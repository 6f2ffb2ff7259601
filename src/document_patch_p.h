#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace sardinespoke {

/// The difference between two revisions of a document (JSON Patch, RFC 6902).
struct DocumentPatch
{
  uint64_t base_ = 0;       ///< Revision it applies to.
  std::string operations_;  ///< JSON text.
  uint64_t resultHash_ = 0; ///< Of the text that the patch must give.
};

/// @returns The patch that turns one text into the other; empty if a text is not in the layout that
/// the documents are serialized in, or if the patch would not be smaller than the document.
std::optional<DocumentPatch>
MakeDocumentPatch(uint64_t aBase, const std::string& aFrom, const std::string& aTo);

/// @returns The text that the patch gives; empty if it does not apply, or if the result is not the
/// one that the sender has.
std::optional<std::string>
ApplyDocumentPatch(const std::string& aFrom, const DocumentPatch& aPatch);

}
