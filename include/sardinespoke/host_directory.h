#pragma once

#include "sardinespoke/backend_orders.h"
#include "sardinespoke/clock.h"

#include <map>
#include <memory>
#include <string>

namespace sardinespoke {

/// A copy of host control's list, read again at intervals.
class HostDirectory
{
public:
  HostDirectory(BackendOrdersI& aOrders, const ClockI& aClock);

  /// Asks for the list if it is older than a period.
  void Tick(std::chrono::milliseconds aPeriod);

  bool IsLoaded() const { return loaded_; }
  const std::map<std::string, HostEntry>& All() const { return hosts_; }

  /// @returns nullptr if there is no such host.
  const HostEntry* Find(const std::string& aId) const;

  /// @returns When the present copy had been asked for; what was ordered later is not in it.
  TimePoint RequestedAt() const { return requestedAt_; }

private:
  BackendOrdersI& orders_;
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
