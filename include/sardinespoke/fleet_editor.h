#pragma once

#include "sardinespoke/fleet_store.h"

#include <functional>
#include <string>

namespace sardinespoke {

/// Changes of the fleet document on behalf of an operator or of this entry host, from any daemon.
/// Each is one compare-and-swap, tried again when another write comes first. Not thread-safe.
/// Errors: PlannerError. After OutcomeUnknown the change may have taken effect.
class FleetEditor
{
public:
  using Change = std::function<leaf::result<void>(FleetMap&)>;

  /// @param aStore Must outlive the editor.
  /// @param aKeyPrefix Prefix of all keys of the deployment.
  /// @param aWriter Entry host that writes.
  /// @param aIdPrefix Start of the change ids; unique to this editor, over restarts too.
  FleetEditor(KeyValueStoreI& aStore,
              const std::string& aKeyPrefix,
              std::string aWriter,
              std::string aIdPrefix);

  /// Applies a change to the current document and writes it.
  /// @param aInForce Greatest revision known to be in force. A store that is behind it was restored
  /// from a backup and is not written to; the planner writes the greater document back first.
  /// @param aChange Edits the next document. Its error ends the edit. It may be called repeatedly.
  /// @returns The revision of the document that holds the change.
  leaf::result<uint64_t> Edit(uint64_t aInForce, const Change& aChange);

  /// Starts a roll-out; InvalidTransition while one is in progress.
  leaf::result<uint64_t> StartRollout(uint64_t aInForce, const std::string& aOperator);
  leaf::result<uint64_t> PauseRollout(uint64_t aInForce);
  leaf::result<uint64_t> ResumeRollout(uint64_t aInForce);

  /// Removes an entry host from the member list. The operator vouches that it has stopped.
  leaf::result<uint64_t> ForgetMember(uint64_t aInForce, const std::string& aMember);

  /// Returns a failed host to service on the operator's word.
  leaf::result<uint64_t> ReturnHost(uint64_t aInForce, const std::string& aHost);

private:
  leaf::result<uint64_t> TryEdit(uint64_t aInForce, const Change& aChange);

  FleetStore store_;
  const std::string writer_;
  const std::string idPrefix_;
  uint64_t changes_ = 0;
};

}
