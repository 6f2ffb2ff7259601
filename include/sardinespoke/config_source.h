#pragma once

#include "sardinespoke/fleet_map.h"
#include "sardinespoke/host_list.h"
#include "sardinespoke/profile_set.h"

#include <memory>
#include <set>

namespace sardinespoke {

/// The documents in force at this entry host. A consistent, immutable snapshot.
struct ConfigView
{
  std::shared_ptr<const ProfileSet> profiles_;
  std::shared_ptr<const FleetMap> fleet_;
  std::shared_ptr<const std::set<std::string>> leaving_; ///< Hosts the host list shows as leaving.
};

/// Gives the documents in force and tells whether they may be used for dispatching. Thread-safe.
class ConfigSourceI
{
public:
  virtual ~ConfigSourceI() = default;

  /// @returns The view in force; its members are null until the first documents have arrived.
  virtual std::shared_ptr<const ConfigView> Current() const = 0;

  /// @returns Whether the view is confirmed recently enough to send work (see docs/design.md, 5.2).
  virtual bool MayDispatch() const = 0;
};

}
