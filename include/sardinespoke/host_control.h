#pragma once

#include "sardinespoke/errors.h"

#include <cstdint>
#include <string>

namespace sardinespoke {

/// Power state of a host as the platform reports it.
struct HostPower
{
  enum class State
  {
    Up,
    Rebooting,
    Down,
    Count
  };
  State state_ = State::Up;
  uint64_t boot_ = 0; ///< Completed boots; tells a finished reboot from one not begun.
};

/// The platform's service that controls the power of hosts. Errors: StoreError.
class HostControlI
{
public:
  virtual ~HostControlI() = default;
  /// Starts a reboot. Has no effect if the host is already rebooting.
  virtual leaf::result<void> Reboot(const std::string& aHost) = 0;
  virtual leaf::result<HostPower> Power(const std::string& aHost) = 0;
};

}
