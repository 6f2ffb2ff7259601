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

/// What became of a document that was offered.
enum class AdoptResult
{
  Applied,     ///< Its revision is greater; it is in force now.
  Same,        ///< It is in force already.
  Older,       ///< Its revision is lower; what is in force stays.
  Conflicting, ///< Equal revision, different content; what is in force stays.
  Invalid,
  Count
};

/// A document in force and what the store showed last for its key.
template<typename Parsed>
class HeldDocument
{
public:
  using Parser = leaf::result<Parsed> (*)(const std::string&);

  explicit HeldDocument(Parser aParser)
    : parser_(aParser)
  {
  }

  /// Applies a document if its revision is greater than the one in force.
  AdoptResult Offer(const std::string& aText)
  {
    if (parsed_ && aText == text_) {
      return AdoptResult::Same;
    }
    std::shared_ptr<const Parsed> parsed = Parse(aText);
    if (!parsed) {
      return AdoptResult::Invalid;
    }
    if (parsed_ && parsed->revision_ < parsed_->revision_) {
      return AdoptResult::Older;
    }
    if (parsed_ && parsed->revision_ == parsed_->revision_) {
      return AdoptResult::Conflicting;
    }
    if (parsed_) {
      earlier_.emplace_back(parsed_->revision_, std::move(text_));
    }
    if (earlier_.size() > kMostEarlier) {
      earlier_.pop_front();
    }
    patches_.clear();
    parsed_ = std::move(parsed);
    text_ = aText;
    storeMatches_ = false;
    return AdoptResult::Applied;
  }

  /// Takes what the store shows for the key.
  /// @param aVersion The store's version; 0 if the key does not exist.
  AdoptResult OfferFromStore(const std::string& aText, uint64_t aVersion, TimePoint aNow)
  {
    storeVersion_ = aVersion;
    const AdoptResult result = aVersion == 0 ? AdoptResult::Older : Offer(aText);
    storeMatches_ = result == AdoptResult::Applied || result == AdoptResult::Same;
    if (result != AdoptResult::Older || !parsed_) {
      olderSince_.reset();
    } else if (!olderSince_) {
      olderSince_ = aNow;
    }
    return result;
  }

  /// Applies a patch to the document in force.
  /// @returns Invalid if it does not apply to it.
  AdoptResult OfferPatch(const DocumentPatch& aPatch)
  {
    if (!parsed_ || aPatch.base_ != parsed_->revision_) {
      return AdoptResult::Invalid;
    }
    const std::optional<std::string> text = ApplyDocumentPatch(text_, aPatch);
    return text ? Offer(*text) : AdoptResult::Invalid;
  }

  /// @returns The patch from an earlier revision to the one in force; empty if there is none.
  std::optional<DocumentPatch> PatchFrom(uint64_t aRevision)
  {
    for (const auto& [revision, text] : earlier_) {
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

  /// @returns The revision that was in force before; 0 if there was none.
  uint64_t PreviousRevision() const { return earlier_.empty() ? 0 : earlier_.back().first; }

  const std::shared_ptr<const Parsed>& InForce() const { return parsed_; }
  const std::string& Text() const { return text_; }
  uint64_t Revision() const { return parsed_ ? parsed_->revision_ : 0; }

  /// @returns Whether the store showed exactly the document in force.
  bool StoreMatches() const { return storeMatches_; }
  uint64_t StoreVersion() const { return storeVersion_; }

  /// @returns Since when the store has shown an older document; empty if it does not.
  std::optional<TimePoint> OlderSince() const { return olderSince_; }

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

  // Texts that patches start from. An entry host that is further behind takes the whole document.
  static constexpr size_t kMostEarlier = 4;

  Parser parser_;
  std::string text_;
  std::deque<std::pair<uint64_t, std::string>> earlier_;     ///< Revision and text, oldest first.
  std::map<uint64_t, std::optional<DocumentPatch>> patches_; ///< By base, made when asked for.
  std::shared_ptr<const Parsed> parsed_;
  bool storeMatches_ = false;
  uint64_t storeVersion_ = 0;
  std::optional<TimePoint> olderSince_;
};

}
