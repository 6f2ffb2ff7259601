#include "sardinespoke/fleet_store.h"

#include <utility>

namespace sardinespoke {

namespace {

leaf::error_id
Fail(PlannerError::Code aCode, const std::string& aMessage)
{
  return leaf::new_error(PlannerError{ aCode, aMessage });
}

}

FleetStore::FleetStore(KeyValueStoreI& aStore, std::string aKey)
  : store_(aStore)
  , key_(std::move(aKey))
{
}

leaf::result<FleetRead>
FleetStore::Read()
{
  FleetRead stored;
  KeyValueItem item;
  BOOST_LEAF_CHECK(leaf::try_handle_some(
    [&]() -> leaf::result<void> {
      BOOST_LEAF_ASSIGN(item, store_.Get(key_));
      return {};
    },
    [](const StoreError& aError) -> leaf::result<void> {
      if (aError.code_ == StoreError::Code::NotFound) {
        return {};
      }
      return Fail(PlannerError::Code::StoreDown, "reading the fleet document: " + aError.message_);
    }));
  stored.version_ = item.version_;
  if (item.version_ == 0) {
    return stored;
  }
  if (item.value_ == lastText_) {
    stored.fleet_ = lastFleet_;
    return stored;
  }
  BOOST_LEAF_CHECK(leaf::try_handle_some(
    [&]() -> leaf::result<void> {
      BOOST_LEAF_ASSIGN(stored.fleet_, FleetMap::Parse(item.value_));
      lastText_ = std::move(item.value_);
      lastFleet_ = stored.fleet_;
      return {};
    },
    [&](const ConfigError& aError) -> leaf::result<void> {
      stored.malformed_ = aError.path_ + ": " + aError.message_;
      return {};
    }));
  return stored;
}

leaf::result<void>
FleetStore::Write(const FleetMap& aFleet, uint64_t aIfVersion)
{
  return leaf::try_handle_some(
    [&]() -> leaf::result<void> {
      BOOST_LEAF_CHECK(store_.Put(key_, aFleet.Serialize(), aIfVersion, std::nullopt));
      return {};
    },
    [&](const StoreError& aError) -> leaf::result<void> {
      const std::string text = "writing the fleet document: " + aError.message_;
      switch (aError.code_) {
        case StoreError::Code::Conflict:
          return Fail(PlannerError::Code::Conflict, text);
        case StoreError::Code::OutcomeUnknown:
        case StoreError::Code::Malformed:
          return ReadBack(aFleet);
        default:
          return Fail(PlannerError::Code::StoreDown, text);
      }
    });
}

leaf::result<void>
FleetStore::ReadBack(const FleetMap& aFleet)
{
  const leaf::result<FleetRead> stored = Read();
  if (stored && stored->version_ != 0 && stored->fleet_.HasChange(aFleet.changeId_)) {
    return {};
  }
  if (stored && stored->fleet_.revision_ >= aFleet.revision_) {
    return Fail(PlannerError::Code::Conflict, "another change took the revision");
  }
  return Fail(PlannerError::Code::OutcomeUnknown,
              "the answer to change " + aFleet.changeId_ + " was lost");
}

}
