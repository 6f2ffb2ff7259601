#include "sardinespoke/fleet_writer.h"

#include "store_call_p.h"

namespace sardinespoke {

namespace {

constexpr int kMaxAttempts = 5;

leaf::result<FleetMap>
ParseStored(const std::string& aText)
{
  return leaf::try_handle_some(
    [&]() { return FleetMap::Parse(aText); },
    [](const ConfigError& aError) -> leaf::result<FleetMap> {
      return leaf::new_error(
        StoreError{ StoreError::Code::Malformed, "fleet document: " + aError.message_ });
    });
}

}

FleetWriter::FleetWriter(KeyValueStoreI& aStore,
                         std::string aKey,
                         std::string aWriter,
                         std::string aProcess)
  : store_(aStore)
  , key_(std::move(aKey))
  , writer_(std::move(aWriter))
  , process_(std::move(aProcess))
{
}

leaf::result<StoredFleet>
FleetWriter::Apply(const Edit& aEdit, uint64_t aMinRevision)
{
  StoreError::Code code = StoreError::Code::Conflict;
  changeId_.clear();
  for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
    const StoreOutcome<StoredFleet> outcome =
      CallStore<StoredFleet>([&]() { return Attempt(aEdit, aMinRevision); });
    if (outcome.value_) {
      return *outcome.value_;
    }
    code = outcome.code_;
    // After a lost response the next attempt reads the document and searches it for the change id.
    if (code != StoreError::Code::Conflict && code != StoreError::Code::OutcomeUnknown) {
      break;
    }
  }
  return leaf::new_error(StoreError{ code, "fleet document \"" + key_ + "\" was not changed" });
}

leaf::result<KeyValueItem>
FleetWriter::Read()
{
  const StoreOutcome<KeyValueItem> outcome =
    CallStore<KeyValueItem>([&]() { return store_.Get(key_); });
  if (outcome.value_) {
    return *outcome.value_;
  }
  if (outcome.code_ == StoreError::Code::NotFound) {
    return KeyValueItem{};
  }
  return leaf::new_error(StoreError{ outcome.code_, "could not read \"" + key_ + "\"" });
}

leaf::result<StoredFleet>
FleetWriter::Attempt(const Edit& aEdit, uint64_t aMinRevision)
{
  BOOST_LEAF_AUTO(item, Read());
  FleetMap fleet;
  if (item.version_ != 0) {
    BOOST_LEAF_ASSIGN(fleet, ParseStored(item.value_));
  }
  if (fleet.revision_ < aMinRevision) {
    return leaf::new_error(
      StoreError{ StoreError::Code::NotFound, "the store shows an older fleet document" });
  }
  if (!changeId_.empty() && fleet.HasChange(changeId_)) {
    return StoredFleet{ item.value_, item.version_ };
  }
  const std::string changeId = writer_ + "." + process_ + "." + std::to_string(++counter_);
  fleet.BeginWrite(writer_, changeId);
  if (!aEdit(fleet)) {
    return StoredFleet{ item.value_, item.version_ };
  }
  changeId_ = changeId;
  StoredFleet stored{ fleet.Serialize(), 0 };
  BOOST_LEAF_ASSIGN(stored.version_, store_.Put(key_, stored.text_, item.version_, std::nullopt));
  return stored;
}

}
