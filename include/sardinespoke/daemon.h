#pragma once

#include "sardinespoke/errors.h"
#include "sardinespoke/settings.h"

#include <memory>

namespace sardinespoke {

/// One entry host: puts the modules together, starts them in order and stops them gracefully.
class Daemon
{
public:
  explicit Daemon(Settings aSettings);
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  /// Starts every module. Errors: ConfigError, PeerError or GatewayError if an address is in use.
  leaf::result<void> Init();

  /// Graceful stop: fails the health check, serves for the grace time, refuses new requests,
  /// finishes those in flight and leaves the member list.
  /// @returns Whether no request was cut.
  bool Shutdown();

private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}
