#pragma once

#include "document_patch_p.h"
#include "sardinespoke/clock.h"
#include "sardinespoke/errors.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace sardinespoke {

/// Result of applying a received document.
enum class ApplyResult
{
  Applied,     ///< Its revision is greater; it is in force now.
  Same,        ///< It was in force already.
  Older,       ///< Its revision is lower; the document in force is kept.
  Conflicting, ///< Equal revision, different content; the document in force is kept.
  Invalid,
  Count
};

/// Local replica of a document in the store: the document in force, recent revisions as bases of
/// patches, and how the store's latest known version compares.
template<typename Parsed>
class DocumentReplica
{
public:
  using Parser = leaf::result<Parsed> (*)(const std::string&);

  explicit DocumentReplica(Parser aParser)
    : parser_(aParser)
  {
  }

  /// Applies a document if its revision is greater than the one in force.
  ApplyResult ApplyIfNewer(const std::string& aText)
  {
    if (parsed_ && aText == text_) {
      return ApplyResult::Same;
    }
    std::shared_ptr<const Parsed> parsed = Parse(aText);
    if (!parsed) {
      return ApplyResult::Invalid;
    }
    if (parsed_ && parsed->revision_ < parsed_->revision_) {
      return ApplyResult::Older;
    }
    if (parsed_ && parsed->revision_ == parsed_->revision_) {
      return ApplyResult::Conflicting;
    }
    if (parsed_) {
      patchBases_.emplace_back(parsed_->revision_, std::move(text_));
    }
    if (patchBases_.size() > kMaxPatchBases) {
      patchBases_.pop_front();
    }
    patches_.clear();
    parsed_ = std::move(parsed);
    text_ = aText;
    storeMatches_ = false;
    return ApplyResult::Applied;
  }

  /// Handles the value that the store returned for the key; applies it if its revision is greater.
  /// @param aVersion The store's version; 0 if the key does not exist.
  ApplyResult UpdateFromStore(const std::string& aText, uint64_t aVersion, TimePoint aNow)
  {
    storeVersion_ = aVersion;
    const ApplyResult result = aVersion == 0 ? ApplyResult::Older : ApplyIfNewer(aText);
    storeMatches_ = result == ApplyResult::Applied || result == ApplyResult::Same;
    if (result != ApplyResult::Older || !parsed_) {
      storeOlderSince_.reset();
    } else if (!storeOlderSince_) {
      storeOlderSince_ = aNow;
    }
    return result;
  }

  /// Applies a patch to the document in force.
  /// @returns Invalid if the patch does not apply to it.
  ApplyResult ApplyPatch(const DocumentPatch& aPatch)
  {
    if (!parsed_ || aPatch.base_ != parsed_->revision_) {
      return ApplyResult::Invalid;
    }
    const std::optional<std::string> text = ApplyDocumentPatch(text_, aPatch);
    return text ? ApplyIfNewer(*text) : ApplyResult::Invalid;
  }

  /// @returns The patch from an earlier revision to the one in force; empty if there is none.
  std::optional<DocumentPatch> PatchFrom(uint64_t aRevision)
  {
    for (const auto& [revision, text] : patchBases_) {
      if (revision != aRevision) {
        continue;
      }
      const auto [patch, isNew] = patches_.try_emplace(revision);
      if (isNew) {
        patch->second = MakeDocumentPatch(revision, text, text_);
      }
      return patch->second;
    }
    return std::nullopt;
  }

  /// @returns The revision that was in force before the current one; 0 if there was none.
  uint64_t PreviousRevision() const { return patchBases_.empty() ? 0 : patchBases_.back().first; }

  const std::shared_ptr<const Parsed>& InForce() const { return parsed_; }
  const std::string& Text() const { return text_; }
  uint64_t Revision() const { return parsed_ ? parsed_->revision_ : 0; }

  /// @returns Whether the store's latest value is the document in force.
  bool StoreMatches() const { return storeMatches_; }
  uint64_t StoreVersion() const { return storeVersion_; }

  /// @returns When the store was first seen to hold an older document; empty if it does not.
  std::optional<TimePoint> StoreOlderSince() const { return storeOlderSince_; }

private:
  std::shared_ptr<const Parsed> Parse(const std::string& aText) const
  {
    return leaf::try_handle_all(
      [&]() -> leaf::result<std::shared_ptr<const Parsed>> {
        BOOST_LEAF_AUTO(parsed, parser_(aText));
        return std::make_shared<const Parsed>(std::move(parsed));
      },
      []() { return std::shared_ptr<const Parsed>(); });
  }

  // An entry host that is further behind gets the whole document.
  static constexpr size_t kMaxPatchBases = 4;

  Parser parser_;
  std::string text_;
  std::deque<std::pair<uint64_t, std::string>> patchBases_;  ///< Revision and text, oldest first.
  std::map<uint64_t, std::optional<DocumentPatch>> patches_; ///< By base, created on demand.
  std::shared_ptr<const Parsed> parsed_;
  bool storeMatches_ = false;
  uint64_t storeVersion_ = 0;
  std::optional<TimePoint> storeOlderSince_;
};

}
