#pragma once

#include "sardinespoke/backend_commands.h"
#include "sardinespoke/clock.h"

#include <map>
#include <memory>
#include <string>

namespace sardinespoke {

/// Periodically refreshed copy of host control's list of hosts.
class HostDirectory
{
public:
  HostDirectory(BackendCommandsI& aCommands, const ClockI& aClock);

  /// Requests the list if the copy is older than a period.
  void Tick(std::chrono::milliseconds aPeriod);

  bool IsLoaded() const { return loaded_; }
  const std::map<std::string, HostEntry>& All() const { return hosts_; }

  /// @returns nullptr if there is no such host.
  const HostEntry* Find(const std::string& aId) const;

  /// @returns When the current copy was requested; it does not show the effect of later commands.
  TimePoint RequestedAt() const { return requestedAt_; }

private:
  BackendCommandsI& commands_;
  const ClockI& clock_;
  std::map<std::string, HostEntry> hosts_;
  bool requestInFlight_ = false;
  bool loaded_ = false;
  TimePoint answeredAt_{};
  TimePoint requestedAt_{};
  TimePoint retryAt_{};
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}
