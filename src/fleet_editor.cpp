#include "sardinespoke/fleet_editor.h"

#include "sardinespoke/fleet_transitions.h"

#include <utility>

namespace sardinespoke {

namespace {

constexpr int kMaxAttempts = 8; // Enough, because the planner writes at most twice a second.

leaf::error_id
Fail(PlannerError::Code aCode, const std::string& aMessage)
{
  return leaf::new_error(PlannerError{ aCode, aMessage });
}

}

FleetEditor::FleetEditor(KeyValueStoreI& aStore,
                         const std::string& aKeyPrefix,
                         std::string aWriter,
                         std::string aIdPrefix)
  : store_(aStore, aKeyPrefix + "config/fleet")
  , writer_(std::move(aWriter))
  , idPrefix_(std::move(aIdPrefix))
{
}

leaf::result<uint64_t>
FleetEditor::TryEdit(uint64_t aInForce, const Change& aChange)
{
  BOOST_LEAF_AUTO(stored, store_.Read());
  if (stored.version_ == 0 || !stored.malformed_.empty()) {
    return Fail(PlannerError::Code::StoreDown, "the store has no readable fleet document");
  }
  if (stored.fleet_.revision_ < aInForce) {
    return Fail(PlannerError::Code::StoreDown,
                "the store has revision " + std::to_string(stored.fleet_.revision_) + ", but " +
                  std::to_string(aInForce) + " is in force");
  }
  FleetMap next = stored.fleet_;
  next.BeginWrite(writer_, idPrefix_ + "." + std::to_string(++changes_));
  BOOST_LEAF_CHECK(aChange(next));
  BOOST_LEAF_CHECK(store_.Write(next, stored.version_));
  return next.revision_;
}

leaf::result<uint64_t>
FleetEditor::Edit(uint64_t aInForce, const Change& aChange)
{
  for (int tries = 1;; ++tries) {
    bool again = false;
    // The handler must return the error that it got. A new error of the same type would be lost,
    // because try_handle_some() forwards the objects of the old one.
    leaf::result<uint64_t> revision = leaf::try_handle_some(
      [&]() -> leaf::result<uint64_t> { return TryEdit(aInForce, aChange); },
      [&](const leaf::error_info& aInfo, const PlannerError& aError) -> leaf::result<uint64_t> {
        again = aError.code_ == PlannerError::Code::Conflict && tries < kMaxAttempts;
        return aInfo.error();
      });
    if (!again) {
      return revision;
    }
  }
}

leaf::result<uint64_t>
FleetEditor::StartRollout(uint64_t aInForce, const std::string& aOperator)
{
  return Edit(aInForce, [&](FleetMap& aFleet) -> leaf::result<void> {
    Rollout& rollout = aFleet.rollout_;
    if (rollout.active_) {
      return Fail(PlannerError::Code::InvalidTransition,
                  "roll-out " + std::to_string(rollout.number_) + " is in progress");
    }
    rollout = Rollout{ rollout.number_ + 1, true, false, aOperator };
    return {};
  });
}

leaf::result<uint64_t>
FleetEditor::PauseRollout(uint64_t aInForce)
{
  return Edit(aInForce, [](FleetMap& aFleet) -> leaf::result<void> {
    if (!aFleet.rollout_.active_) {
      return Fail(PlannerError::Code::InvalidTransition, "no roll-out is in progress");
    }
    aFleet.rollout_.paused_ = true;
    return {};
  });
}

leaf::result<uint64_t>
FleetEditor::ResumeRollout(uint64_t aInForce)
{
  return Edit(aInForce, [](FleetMap& aFleet) -> leaf::result<void> {
    if (!aFleet.rollout_.active_) {
      return Fail(PlannerError::Code::InvalidTransition, "no roll-out is in progress");
    }
    aFleet.rollout_.paused_ = false;
    return {};
  });
}

leaf::result<uint64_t>
FleetEditor::ForgetMember(uint64_t aInForce, const std::string& aMember)
{
  return Edit(aInForce, [&](FleetMap& aFleet) -> leaf::result<void> {
    if (aFleet.members_.erase(aMember) == 0) {
      return Fail(PlannerError::Code::UnknownHost, "entry host " + aMember + " is not a member");
    }
    return {};
  });
}

leaf::result<uint64_t>
FleetEditor::ReturnHost(uint64_t aInForce, const std::string& aHost)
{
  return Edit(aInForce, [&](FleetMap& aFleet) -> leaf::result<void> {
    const auto found = aFleet.hosts_.find(aHost);
    if (found != aFleet.hosts_.end() && found->second.state_ != HostState::Failed) {
      return Fail(PlannerError::Code::InvalidTransition, "host " + aHost + " has not failed");
    }
    return ReturnToService(aFleet, aHost);
  });
}

}
