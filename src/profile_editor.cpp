#include "sardinespoke/profile_editor.h"

#include "json_document_p.h"
#include "profile_json_p.h"
#include "sardinespoke/profile_diff.h"

#include <algorithm>

namespace sardinespoke {

namespace {

using Json = nlohmann::json;
using Code = ConfigError::Code;

constexpr int kMaxAttempts = 5; // Bounds the duration of an edit while responses are lost.
// The document contains the history, so ids and summaries must be short.
constexpr size_t kMaxIdBytes = 128;
constexpr size_t kMaxSummaryFields = 3;
// Keep the message of a conflict readable.
constexpr size_t kMaxConflictFields = 20;
constexpr size_t kMaxConflictChanges = 3;
constexpr size_t kMaxDocumentBytes = 1000000; // The platform's limit for one value.

auto
Fail(Code aCode, const std::string& aPath, const std::string& aMessage)
{
  return leaf::new_error(ConfigError{ aCode, aPath, aMessage });
}

leaf::result<void>
CheckRequest(const EditRequest& aRequest)
{
  const std::string expected = "expected 1 to " + std::to_string(kMaxIdBytes) + " bytes of text";
  const std::pair<const char*, const std::string&> fields[] = {
    { "/change_id", aRequest.changeId_ }, { "/author", aRequest.author_ }
  };
  for (const auto& [path, value] : fields) {
    if (value.empty() || value.size() > kMaxIdBytes) {
      return Fail(
        Code::Semantic, path, "found " + std::to_string(value.size()) + " bytes; " + expected);
    }
    // Rejects text that is not UTF-8, which would make the document in the store invalid JSON.
    if (Json::parse(Json(value).dump(-1, ' ', false, Json::error_handler_t::replace)) != value) {
      return Fail(Code::Semantic, path, "found text that is not UTF-8; " + expected);
    }
  }
  return {};
}

/// @returns The record of the change, or null if the history does not contain it.
const ChangeRecord*
FindChange(const ProfileSet& aSet, const std::string& aChangeId)
{
  const auto record =
    std::find_if(aSet.history_.begin(), aSet.history_.end(), [&](const ChangeRecord& aRecord) {
      return aRecord.changeId_ == aChangeId;
    });
  return record == aSet.history_.end() ? nullptr : &*record;
}

/// Describes the changes after a revision, latest first.
std::string
DescribeLaterChanges(const ProfileSet& aCurrent, uint64_t aBase)
{
  std::string text;
  const size_t size = aCurrent.history_.size();
  for (size_t count = 1; count <= std::min(size, kMaxConflictChanges); ++count) {
    const ChangeRecord& record = aCurrent.history_[size - count];
    if (record.revision_ <= aBase) {
      break;
    }
    text += std::string(text.empty() ? "" : "; ") + "change \"" + record.changeId_ + "\" by " +
            record.author_ + " is revision " + std::to_string(record.revision_);
  }
  return text.empty() ? "its change is no longer in the history" : text;
}

}

/// The document in the store; version 0 if there is none.
struct ProfileEditor::StoredDocument
{
  ProfileSet set_;
  uint64_t version_ = 0;
};

/// Result of one compare-and-swap; the code is Count if it succeeded.
struct ProfileEditor::Write
{
  StoreError::Code code_ = StoreError::Code::Count;
  std::string message_;
};

ProfileEditor::ProfileEditor(KeyValueStoreI& aStore,
                             const std::string& aKeyPrefix,
                             ProfileEditorSources aSources)
  : store_(aStore)
  , key_(aKeyPrefix + "config/profiles")
  , sources_(std::move(aSources))
{
}

leaf::result<AcceptedEdit>
ProfileEditor::ApplyDocument(const std::string& aText, const EditRequest& aRequest)
{
  return Apply(
    [&](const ProfileSet&) -> leaf::result<Json> {
      BOOST_LEAF_AUTO(document, ParseStrict(aText, ""));
      if (document.is_object()) {
        document.erase("revision");
        document.erase("history");
      }
      return document;
    },
    aRequest);
}

leaf::result<AcceptedEdit>
ProfileEditor::PutProfile(const std::string& aName,
                          const std::string& aText,
                          const EditRequest& aRequest)
{
  return Apply(
    [&](const ProfileSet& aCurrent) -> leaf::result<Json> {
      const std::string path = (Json::json_pointer("/profiles") / aName).to_string();
      BOOST_LEAF_AUTO(profile, ParseStrict(aText, path));
      Json document = ToJson(aCurrent);
      document["profiles"][aName] = profile;
      return document;
    },
    aRequest);
}

leaf::result<AcceptedEdit>
ProfileEditor::DeleteProfile(const std::string& aName, const EditRequest& aRequest)
{
  return Apply(
    [&](const ProfileSet& aCurrent) -> leaf::result<Json> {
      if (aCurrent.profiles_.count(aName) == 0) {
        return Fail(Code::NotFound,
                    (Json::json_pointer("/profiles") / aName).to_string(),
                    "there is no profile of this name");
      }
      Json document = ToJson(aCurrent);
      document["profiles"].erase(aName);
      return document;
    },
    aRequest);
}

leaf::result<ProfileSet>
ProfileEditor::Read()
{
  BOOST_LEAF_AUTO(stored, Load());
  if (stored.version_ == 0) {
    return Fail(Code::NotFound, "", "the store holds no profile document yet");
  }
  return std::move(stored.set_);
}

leaf::result<ProfileEditor::StoredDocument>
ProfileEditor::Load()
{
  std::string failure;
  const auto item =
    leaf::try_handle_all([&]() -> leaf::result<KeyValueItem> { return store_.Get(key_); },
                         [&](const StoreError& aError) {
                           if (aError.code_ != StoreError::Code::NotFound) {
                             failure = std::string(CodeName(aError.code_)) + ": " + aError.message_;
                           }
                           return KeyValueItem{};
                         },
                         [&] {
                           failure = "an error of an unexpected type";
                           return KeyValueItem{};
                         });
  if (!failure.empty()) {
    return Fail(Code::StoreDown, "", "the profile document cannot be read: " + failure);
  }
  if (item.version_ == 0) {
    return StoredDocument{};
  }
  // The error is created after the handlers: try_handle_some() would replace a new error of the
  // handled type by the objects of the old one.
  std::optional<ConfigError> invalid;
  StoredDocument stored = leaf::try_handle_all(
    [&]() -> leaf::result<StoredDocument> {
      BOOST_LEAF_AUTO(set, ProfileSet::Parse(item.value_, 0));
      return StoredDocument{ std::move(set), item.version_ };
    },
    [&](const ConfigError& aError) {
      invalid = aError;
      return StoredDocument{};
    },
    [&] {
      invalid = ConfigError{ Code::StoreDown, "", "an error of an unexpected type" };
      return StoredDocument{};
    });
  if (invalid) {
    return Fail(invalid->code_,
                invalid->path_,
                "the document in the store is not valid: " + invalid->message_);
  }
  return stored;
}

ProfileEditor::Write
ProfileEditor::Store(const ProfileSet& aNext, uint64_t aVersion)
{
  return leaf::try_handle_all(
    [&]() -> leaf::result<Write> {
      BOOST_LEAF_CHECK(store_.Put(key_, aNext.Serialize(), aVersion, {}));
      return Write{};
    },
    [](const StoreError& aError) {
      return Write{ aError.code_, aError.message_ };
    },
    [] {
      return Write{ StoreError::Code::OutcomeUnknown, "an error of an unexpected type" };
    });
}

leaf::result<void>
ProfileEditor::CheckBase(const Edit& aEdit,
                         const EditRequest& aRequest,
                         const ProfileSet& aCurrent,
                         uint64_t aInForce) const
{
  if (aCurrent.revision_ < aInForce) {
    return Fail(Code::StoreDown,
                "/revision",
                "the store holds revision " + std::to_string(aCurrent.revision_) +
                  ", but revision " + std::to_string(aInForce) +
                  " is in force; it has not been written back yet");
  }
  if (aRequest.baseRevision_ == aCurrent.revision_) {
    return {};
  }
  std::string message = "found revision " + std::to_string(aCurrent.revision_) +
                        "; expected the base revision " + std::to_string(aRequest.baseRevision_);
  if (aCurrent.revision_ > aRequest.baseRevision_) {
    message += "; " + DescribeLaterChanges(aCurrent, aRequest.baseRevision_);
  }
  // Compares the fields, which fails if the edit does not apply to the current document.
  const std::string fields = leaf::try_handle_all(
    [&]() -> leaf::result<std::string> {
      BOOST_LEAF_AUTO(document, aEdit(aCurrent));
      BOOST_LEAF_AUTO(edited, ReadProfileSet(document, 0));
      const auto changes = DiffProfileSets(aCurrent, edited);
      return changes.empty() ? "no field" : DescribeChanges(changes, kMaxConflictFields);
    },
    [](const ConfigError& aError) {
      return "the edit does not fit the current document: " + aError.path_ + " " + aError.message_;
    },
    [] { return std::string("unknown"); });
  return Fail(
    Code::Conflict, "/revision", message + "; fields that differ (current -> yours): " + fields);
}

leaf::result<ProfileSet>
ProfileEditor::MakeNext(const Edit& aEdit,
                        const EditRequest& aRequest,
                        const ProfileSet& aCurrent) const
{
  const FleetCapacity capacity = sources_.capacity_ ? sources_.capacity_() : FleetCapacity{};
  BOOST_LEAF_AUTO(document, aEdit(aCurrent));
  BOOST_LEAF_AUTO(next, ReadProfileSet(document, capacity.slots_));
  if (!capacity.poolHosts_.empty()) {
    BOOST_LEAF_CHECK(next.CheckPools(capacity.poolHosts_));
  }
  const std::string summary = DescribeChanges(DiffProfileSets(aCurrent, next), kMaxSummaryFields);
  const std::string acceptedAt = sources_.wallClock_ ? sources_.wallClock_() : "";
  next.revision_ = aCurrent.revision_ + 1;
  next.history_ = aCurrent.history_;
  next.history_.push_back(
    { next.revision_, aRequest.changeId_, aRequest.author_, summary, acceptedAt });
  if (next.history_.size() > ProfileSet::kMaxHistory) {
    next.history_.erase(next.history_.begin(), next.history_.end() - ProfileSet::kMaxHistory);
  }
  const size_t bytes = next.Serialize().size();
  if (bytes > kMaxDocumentBytes) {
    return Fail(Code::Semantic,
                "",
                "found a document of " + std::to_string(bytes) + " bytes; expected at most " +
                  std::to_string(kMaxDocumentBytes));
  }
  return next;
}

/// Makes one read and, if the document does not contain the change yet, one write.
/// @param aMayBeWritten Set once a write of this edit has an unknown outcome.
/// @returns Empty if another attempt is needed.
leaf::result<std::optional<AcceptedEdit>>
ProfileEditor::Attempt(const Edit& aEdit, const EditRequest& aRequest, bool& aMayBeWritten)
{
  // Taken before the read: otherwise a change accepted in between would make the store seem
  // outdated.
  const uint64_t inForce = sources_.revisionInForce_ ? sources_.revisionInForce_() : 0;
  BOOST_LEAF_AUTO(stored, Load());
  if (const ChangeRecord* record = FindChange(stored.set_, aRequest.changeId_)) {
    if (record->author_ != aRequest.author_) {
      return Fail(Code::Semantic,
                  "/change_id",
                  "found an id that " + record->author_ + " used for revision " +
                    std::to_string(record->revision_) + "; expected a new one");
    }
    return std::optional(AcceptedEdit{ record->revision_, !aMayBeWritten });
  }
  if (aMayBeWritten && stored.set_.revision_ < aRequest.baseRevision_) {
    return Fail(Code::StoreDown, "", "the store was restored to an older revision");
  }
  BOOST_LEAF_CHECK(CheckBase(aEdit, aRequest, stored.set_, inForce));
  BOOST_LEAF_AUTO(next, MakeNext(aEdit, aRequest, stored.set_));
  const Write write = Store(next, stored.version_);
  switch (write.code_) {
    case StoreError::Code::Count:
      return std::optional(AcceptedEdit{ next.revision_, false });
    case StoreError::Code::Unreachable:
      return Fail(Code::StoreDown, "", "the edit was not written: " + write.message_);
    case StoreError::Code::TooLarge:
      return Fail(Code::Semantic, "", "the store refused the document: " + write.message_);
    case StoreError::Code::Conflict:
      return std::optional<AcceptedEdit>{};
    default:
      // The write may still take effect later, so only the next compare-and-swap decides.
      aMayBeWritten = true;
      return std::optional<AcceptedEdit>{};
  }
}

leaf::result<AcceptedEdit>
ProfileEditor::Apply(const Edit& aEdit, const EditRequest& aRequest)
{
  BOOST_LEAF_CHECK(CheckRequest(aRequest));
  bool mayBeWritten = false;
  std::string lastFailure = "the outcome of the last write is not known";
  for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
    std::optional<ConfigError> failure;
    const auto accepted = leaf::try_handle_all(
      [&] { return Attempt(aEdit, aRequest, mayBeWritten); },
      [&](const ConfigError& aError) {
        failure = aError;
        return std::optional<AcceptedEdit>{};
      },
      [&] {
        failure = ConfigError{ Code::StoreDown, "", "an error of an unexpected type" };
        return std::optional<AcceptedEdit>{};
      });
    if (accepted) {
      return *accepted;
    }
    if (!failure) {
      continue;
    }
    // While a write may still take effect, only a newer revision without the change proves that it
    // failed.
    if (!mayBeWritten || failure->code_ == Code::Conflict) {
      return leaf::new_error(*failure);
    }
    lastFailure = failure->message_;
  }
  if (!mayBeWritten) {
    return Fail(Code::Conflict, "/revision", "the document was replaced during every attempt");
  }
  return Fail(Code::OutcomeUnknown,
              "",
              "the change may have been accepted; repeat it with change id \"" +
                aRequest.changeId_ + "\" (" + lastFailure + ")");
}

}
