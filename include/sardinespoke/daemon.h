#pragma once

#include "sardinespoke/errors.h"
#include "sardinespoke/settings.h"

#include <memory>

namespace sardinespoke {

/// The process of one entry host: creates the modules, starts them in order and stops them
/// gracefully.
class Daemon
{
public:
  explicit Daemon(Settings aSettings);
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  /// Starts every module. Errors: ConfigError, PeerError or GatewayError if an address is in use.
  leaf::result<void> Init();

  /// Graceful shutdown: fails the health check, serves for the grace period, refuses new requests,
  /// waits for those in flight and leaves the member list.
  /// @returns Whether every request in flight completed.
  bool Shutdown();

private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}
