#pragma once

#include "sardinespoke/intake_budget.h"
#include "sardinespoke/settings.h"

namespace sardinespoke {

/// Settings of an entry host that runs jobs, read at startup. docs/platform.md describes each
/// field.
struct NodeSettings
{
  std::string id_; ///< Entry host id, unique in the deployment.
  std::string zone_;
  Endpoint caller_;
  Endpoint health_;      ///< Health check and metrics.
  Endpoint peer_;        ///< For the other entry hosts.
  Endpoint store_;       ///< The platform's store.
  Endpoint hostControl_; ///< The platform's host control.
  std::string advice_;   ///< "ip:port" of the advice service; empty if there is none.
  double cores_ = 1.0;   ///< CPU share of this host, in cores.
  std::chrono::milliseconds minLease_{ 1000 };      ///< Minimum lease of the store.
  std::chrono::milliseconds holdMax_{ 6000 };       ///< Maximum lease of running tasks.
  std::chrono::milliseconds stopLimit_{ 6000 };     ///< From the stop signal to SIGKILL.
  std::chrono::milliseconds pauseThreshold_{ 300 }; ///< A longer gap in the loop is a pause.
  std::chrono::milliseconds moveTime_{ 1500 };      ///< Duration of a host's move to another pool.
  std::chrono::milliseconds maintenanceTime_{ 2000 };
  std::chrono::milliseconds keepEnded_{ 120000 }; ///< How long the state of ended jobs is kept.
  /// A configuration is in force everywhere this long after it was written.
  std::chrono::milliseconds configApply_{ 2000 };
  /// Added to configApply_ while the store refuses some entry hosts.
  std::chrono::milliseconds configStretch_{ 5000 };
  /// Parts of the platform that the deployment uses, by the platform's names.
  std::vector<std::string> platformParts_;
  IntakeLimits intake_; ///< Some of them follow from the memory and descriptors of this host.
  std::string logLevel_ = "info";

  /// Parses and checks a settings file.
  /// @param aText JSON text.
  /// Errors: ConfigError with the path within the file and what was expected.
  static leaf::result<NodeSettings> Parse(const std::string& aText);

  /// Applies the settings that can change at run time, which is only the log level.
  /// @returns False if other settings differ, which need a restart to take effect.
  bool Reload(const NodeSettings& aNext);

  bool operator==(const NodeSettings& aOther) const = default;
};

}
