#pragma once

#include "document_patch_p.h"
#include "sardinespoke/membership.h"

#include <chrono>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>

namespace sardinespoke {

/// Asks a peer to confirm the sender's view (docs/design.md, 5.4).
struct ConfirmRequest
{
  std::string sender_;
  std::string incarnation_;
  uint64_t profilesRevision_ = 0;
  uint64_t fleetRevision_ = 0;
  uint64_t rosterDigest_ = 0;
  uint64_t leavingDigest_ = 0;
  std::string sponsor_;        ///< Set by a guest: the member that answers for it.
  std::set<std::string> busy_; ///< Set by a guest.
  uint64_t ackedRevision_ = 0; ///< Set by a guest: fleet revision its scheduler works with.
  std::set<std::string> wholeDocuments_; ///< Keys of documents to send whole, not as a patch.
  uint64_t hybridTime_ = 0;

  nlohmann::json ToJson() const;
  /// Throws nlohmann::json::exception if a field is missing or has a wrong type.
  static ConfirmRequest FromJson(const nlohmann::json& aJson);
};

/// A peer's access to a service and the age of its view of it.
struct ServiceReport
{
  std::optional<std::chrono::microseconds> age_;        ///< Age of its confirmation, if it has one.
  bool reachable_ = true;                               ///< Whether its latest call succeeded.
  std::optional<std::chrono::microseconds> contactAge_; ///< Time since its last successful call.
};

/// Answer to a ConfirmRequest.
struct ConfirmReply
{
  std::string id_;
  uint64_t profilesRevision_ = 0;
  uint64_t fleetRevision_ = 0;
  ServiceReport store_;
  ServiceReport list_;
  uint64_t rosterDigest_ = 0;
  uint64_t leavingDigest_ = 0;
  std::optional<EntryRoster> roster_;              ///< Only if the sender's digest differs.
  std::optional<std::set<std::string>> leaving_;   ///< Only if the sender's digest differs.
  std::map<std::string, std::string> documents_;   ///< Newer documents by key, without the prefix.
  std::map<std::string, DocumentPatch> patches_;   ///< The same as patches of the sender's.
  bool maySponsor_ = false;                        ///< It is a member that may dispatch.
  std::optional<std::chrono::microseconds> grant_; ///< For its guest: time it may dispatch.
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

/// @returns A value that changes with the content; never 0.
uint64_t
Digest(const EntryRoster& aRoster);
uint64_t
Digest(const std::set<std::string>& aNames);

}
