#pragma once

#include "sardinespoke/errors.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace sardinespoke {

/// An IP address and port.
struct Endpoint
{
  std::string address_;
  uint16_t port_ = 0;

  /// @returns "address:port".
  std::string Text() const { return address_ + ":" + std::to_string(port_); }

  bool operator==(const Endpoint& aOther) const = default;
};

/// Settings of one daemon, read once at start. docs/settings.md describes each field.
struct Settings
{
  std::string id_; ///< Entry host id; unique in the deployment.
  std::string zone_;
  std::string region_;
  Endpoint caller_;
  Endpoint admin_;
  Endpoint peer_;
  Endpoint platform_;
  std::vector<std::string> seedPeers_; ///< "ip:port" of peers to query when the store is down.
  std::string keyPrefix_ = "sardinespoke/";
  uint64_t maxBodyBytes_ = 1 << 20;
  uint64_t maxAnswerBytes_ = 8 << 20;
  uint32_t maxCallerConnections_ = 1000;
  uint32_t retryPercent_ = 10;                   ///< Retry budget in percent of first attempts.
  uint64_t controlBytesPerSecond_ = 15000;       ///< Budget for messages to other entry hosts.
  std::chrono::milliseconds stopGrace_{ 3000 };  ///< Time to keep serving while /healthz fails.
  std::chrono::milliseconds stopLimit_{ 60000 }; ///< Maximum wait for requests in flight at a stop.
  std::string logLevel_ = "info";

  /// Parses and checks a settings file.
  /// @param aText JSON text.
  /// Errors: ConfigError with the path of the field and what was expected.
  static leaf::result<Settings> Parse(const std::string& aText);
};

}
