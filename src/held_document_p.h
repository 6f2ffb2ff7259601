#pragma once

#include "sardinespoke/clock.h"
#include "sardinespoke/errors.h"

#include <cstdint>
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
    previousText_ = std::move(text_);
    previousRevision_ = Revision();
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

  const std::shared_ptr<const Parsed>& InForce() const { return parsed_; }
  const std::string& Text() const { return text_; }
  /// @returns The document that was in force before; empty if there was none.
  const std::string& PreviousText() const { return previousText_; }
  uint64_t PreviousRevision() const { return previousRevision_; }
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

  Parser parser_;
  std::string text_;
  std::string previousText_;
  uint64_t previousRevision_ = 0;
  std::shared_ptr<const Parsed> parsed_;
  bool storeMatches_ = false;
  uint64_t storeVersion_ = 0;
  std::optional<TimePoint> olderSince_;
};

}
