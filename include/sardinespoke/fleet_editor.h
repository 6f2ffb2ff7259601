#pragma once

#include "sardinespoke/fleet_store.h"

#include <functional>
#include <string>

namespace sardinespoke {

/// Edits the fleet document for an operator or for this entry host; works on any daemon. Each edit
/// is one compare-and-swap, retried if another write came first. Not thread-safe.
/// Errors: PlannerError. After OutcomeUnknown the change may have taken effect.
class FleetEditor
{
public:
  using Change = std::function<leaf::result<void>(FleetMap&)>;

  /// @param aStore Must outlive the editor.
  /// @param aKeyPrefix Prefix of all keys of the deployment.
  /// @param aWriter Id of the entry host that writes.
  /// @param aIdPrefix Prefix of the change ids; unique to this editor, also across restarts.
  FleetEditor(KeyValueStoreI& aStore,
              const std::string& aKeyPrefix,
              std::string aWriter,
              std::string aIdPrefix);

  /// Applies a change to the current document and writes it.
  /// @param aInForce Greatest revision known to be in force. If the store holds a lower one, it was
  /// restored from a backup, and the edit fails until the planner has written the newer document
  /// back.
  /// @param aChange Edits the next document; called again on each retry. Its error ends the edit.
  /// @returns The revision of the document that contains the change.
  leaf::result<uint64_t> Edit(uint64_t aInForce, const Change& aChange);

  /// Starts a roll-out; fails with InvalidTransition while one is in progress.
  leaf::result<uint64_t> StartRollout(uint64_t aInForce, const std::string& aOperator);
  leaf::result<uint64_t> PauseRollout(uint64_t aInForce);
  leaf::result<uint64_t> ResumeRollout(uint64_t aInForce);

  /// Removes an entry host from the member list. The operator must make sure that it has stopped.
  leaf::result<uint64_t> ForgetMember(uint64_t aInForce, const std::string& aMember);

  /// Returns a failed host to service at the operator's request.
  leaf::result<uint64_t> ReturnHost(uint64_t aInForce, const std::string& aHost);

private:
  leaf::result<uint64_t> TryEdit(uint64_t aInForce, const Change& aChange);

  FleetStore store_;
  const std::string writer_;
  const std::string idPrefix_;
  uint64_t changes_ = 0;
};

}
