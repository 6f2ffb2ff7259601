#pragma once

#include "sardinespoke/fleet_map.h"
#include "sardinespoke/key_value_store.h"

#include <functional>
#include <string>

namespace sardinespoke {

/// A fleet document in the store.
struct StoredFleet
{
  std::string text_;
  uint64_t version_ = 0; ///< Version in the store.
};

/// Changes the fleet document by compare-and-swap. Retries when another writer came first. After a
/// lost response the change id shows whether the write took effect.
class FleetWriter
{
public:
  /// Changes the document; returns false if no change is needed. Called again on each retry.
  using Edit = std::function<bool(FleetMap&)>;

  /// @param aKey Full key of the document.
  /// @param aWriter Entry host id.
  /// @param aProcess Unique per start of the daemon; makes the change ids unique.
  FleetWriter(KeyValueStoreI& aStore, std::string aKey, std::string aWriter, std::string aProcess);

  /// @param aMinRevision Lowest revision that may be edited; a store that was restored from a
  /// backup can hold a lower one. With 0, a missing document is created.
  /// @returns The document now in the store. Errors: StoreError; NotFound if the store's document
  /// is older than aMinRevision, Conflict if every attempt lost against another writer.
  leaf::result<StoredFleet> Apply(const Edit& aEdit, uint64_t aMinRevision);

private:
  leaf::result<KeyValueItem> Read();
  leaf::result<StoredFleet> Attempt(const Edit& aEdit, uint64_t aMinRevision);

  KeyValueStoreI& store_;
  const std::string key_;
  const std::string writer_;
  const std::string process_;
  uint64_t counter_ = 0;
  std::string changeId_; ///< Change id of the latest write of the current Apply().
};

}
