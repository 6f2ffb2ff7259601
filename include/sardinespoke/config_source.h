#pragma once

#include "sardinespoke/fleet_map.h"
#include "sardinespoke/host_list.h"
#include "sardinespoke/profile_set.h"

#include <memory>
#include <set>

namespace sardinespoke {

/// Immutable, consistent snapshot of the documents in force at this entry host.
struct ConfigView
{
  std::shared_ptr<const ProfileSet> profiles_;
  std::shared_ptr<const FleetMap> fleet_;
  std::shared_ptr<const std::set<std::string>> leaving_; ///< Hosts the host list shows as leaving.
};

/// Provides the documents in force and whether work may be dispatched by them. Thread-safe.
class ConfigSourceI
{
public:
  virtual ~ConfigSourceI() = default;

  /// @returns The current view; its members are null until the first documents have been received.
  virtual std::shared_ptr<const ConfigView> Current() const = 0;

  /// @returns Whether the view was confirmed recently enough to dispatch work
  /// (docs/design.md, 5.2).
  virtual bool MayDispatch() const = 0;
};

}
