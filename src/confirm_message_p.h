#pragma once

#include "document_patch_p.h"
#include "sardinespoke/membership.h"

#include <chrono>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>

namespace sardinespoke {

/// Requests that a peer confirms the sender's view (docs/design.md, 5.4).
struct ConfirmRequest
{
  std::string sender_;
  std::string incarnation_;
  uint64_t profilesRevision_ = 0;
  uint64_t fleetRevision_ = 0;
  uint64_t rosterDigest_ = 0;
  uint64_t leavingDigest_ = 0;
  std::string sponsor_;                  ///< If sponsored: member that reports for the sender.
  std::set<std::string> busy_;           ///< If sponsored: draining hosts that run its requests.
  uint64_t ackedRevision_ = 0;           ///< If sponsored: fleet revision that its scheduler uses.
  std::set<std::string> wholeDocuments_; ///< Keys of documents to send whole instead of as a patch.
  uint64_t hybridTime_ = 0;

  nlohmann::json ToJson() const;
  /// Throws nlohmann::json::exception if a field is missing or has a wrong type.
  static ConfirmRequest FromJson(const nlohmann::json& aJson);
};

/// A peer's access to a platform service and the age of its view of the service.
struct ServiceReport
{
  std::optional<std::chrono::microseconds> age_;        ///< Age of its confirmation, if any.
  bool reachable_ = true;                               ///< Whether its latest call succeeded.
  std::optional<std::chrono::microseconds> contactAge_; ///< Time since its last successful call.
};

/// Reply to a ConfirmRequest.
struct ConfirmReply
{
  std::string id_;
  uint64_t profilesRevision_ = 0;
  uint64_t fleetRevision_ = 0;
  ServiceReport store_;
  ServiceReport list_;
  uint64_t rosterDigest_ = 0;
  uint64_t leavingDigest_ = 0;
  std::optional<EntryRoster> roster_;            ///< Only if the sender's digest differs.
  std::optional<std::set<std::string>> leaving_; ///< Only if the sender's digest differs.
  std::map<std::string, std::string> documents_; ///< Newer documents by key, without the prefix.
  std::map<std::string, DocumentPatch> patches_; ///< Patches from the sender's documents, by key.
  bool maySponsor_ = false; ///< Whether the peer is a member that may dispatch.
  std::optional<std::chrono::microseconds> grant_; ///< If it sponsors the sender: dispatch time.
  uint64_t hybridTime_ = 0;

  nlohmann::json ToJson() const;
  /// Throws nlohmann::json::exception if a field is missing or has a wrong type.
  static ConfirmReply FromJson(const nlohmann::json& aJson);
};

nlohmann::json
PatchToJson(const DocumentPatch& aPatch);
/// Throws nlohmann::json::exception if a field is missing or has a wrong type.
DocumentPatch
PatchFromJson(const nlohmann::json& aJson);

/// @returns A hash of the content; never 0.
uint64_t
Digest(const EntryRoster& aRoster);
uint64_t
Digest(const std::set<std::string>& aNames);

}
