#pragma once

#include "sardinespoke/key_value_store.h"
#include "sardinespoke/profile_set.h"

#include <nlohmann/json_fwd.hpp>

#include <functional>

namespace sardinespoke {

/// Identifies an operator's edit.
struct EditRequest
{
  std::string changeId_; ///< Idempotency key chosen by the client; the same on every retry.
  std::string author_;
  uint64_t baseRevision_ = 0; ///< Revision that the edit is based on; 0 if there was no document.
};

/// Result of an accepted edit.
struct AcceptedEdit
{
  uint64_t revision_ = 0;
  bool repeated_ = false; ///< Whether the change was accepted before this call.
};

/// Capacity that edits are validated against.
struct FleetCapacity
{
  uint64_t slots_ = 0;                        ///< 0 skips the checks against the fleet.
  std::map<std::string, uint32_t> poolHosts_; ///< Hosts per pool in any state; empty skips them.
};

/// Data sources of a ProfileEditor. Each member may be empty.
struct ProfileEditorSources
{
  std::function<FleetCapacity()> capacity_;
  /// Revision in force at this daemon. If the store holds a lower one, it was restored from a
  /// backup, and the write-back would revert an edit of the old document.
  std::function<uint64_t()> revisionInForce_;
  std::function<std::string()> wallClock_; ///< Time in ISO 8601 for the history.
};

/// Applies operators' edits to the document "<key prefix>config/profiles" by compare-and-swap. An
/// edit either becomes exactly the revision after its base revision or changes nothing.
///
/// Errors of all edits: ConfigError::NotJson, Schema and Semantic for invalid edits; Conflict if
/// the base revision is not the current one (the message names the later changes and the fields
/// that differ); StoreDown if the store cannot be reached and nothing was changed; OutcomeUnknown
/// if the edit may have been accepted. Retrying it with the same change id is safe in this case.
class ProfileEditor
{
public:
  /// @param aStore Must outlive the editor.
  ProfileEditor(KeyValueStoreI& aStore,
                const std::string& aKeyPrefix,
                ProfileEditorSources aSources = {});

  /// Replaces vouchers, pools, profiles and services; ignores "revision" and "history" in the text.
  leaf::result<AcceptedEdit> ApplyDocument(const std::string& aText, const EditRequest& aRequest);
  /// Adds or replaces one profile.
  /// @param aText JSON object of the profile.
  leaf::result<AcceptedEdit> PutProfile(const std::string& aName,
                                        const std::string& aText,
                                        const EditRequest& aRequest);
  /// Errors: also ConfigError::NotFound.
  leaf::result<AcceptedEdit> DeleteProfile(const std::string& aName, const EditRequest& aRequest);

  /// Reads the document from the store. Errors: ConfigError::StoreDown, NotFound.
  leaf::result<ProfileSet> Read();

private:
  /// Returns the edited copy of the current document.
  using Edit = std::function<leaf::result<nlohmann::json>(const ProfileSet& aCurrent)>;

  struct StoredDocument;
  struct Write;

  leaf::result<AcceptedEdit> Apply(const Edit& aEdit, const EditRequest& aRequest);
  leaf::result<std::optional<AcceptedEdit>> Attempt(const Edit& aEdit,
                                                    const EditRequest& aRequest,
                                                    bool& aMayBeWritten);
  leaf::result<ProfileSet> MakeNext(const Edit& aEdit,
                                    const EditRequest& aRequest,
                                    const ProfileSet& aCurrent) const;
  leaf::result<StoredDocument> Load();
  Write Store(const ProfileSet& aNext, uint64_t aVersion);
  /// Checks that the store is not behind and that the edit is based on the current revision.
  /// @param aInForce Revision in force before the store was read.
  leaf::result<void> CheckBase(const Edit& aEdit,
                               const EditRequest& aRequest,
                               const ProfileSet& aCurrent,
                               uint64_t aInForce) const;

  KeyValueStoreI& store_;
  const std::string key_;
  const ProfileEditorSources sources_;
};

}
