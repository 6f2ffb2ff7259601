#pragma once

#include "memory_platform.h"

#include <cstdint>
#include <memory>
#include <string>

namespace sardinespoke {

/// Serves a MemoryPlatform over HTTP (docs/design.md, 5.5), with one thread per connection. Adds
/// the control calls POST /faults/v1, GET /calls/v1 and POST /hosts/v1/list, which no fault
/// affects.
///
/// If a response is lost or the client is cut off, the connection closes before the response is
/// complete. A service that is down responds with status 503.
class PlatformServer
{
public:
  /// @param aPlatform Must outlive the server.
  explicit PlatformServer(MemoryPlatform& aPlatform);
  ~PlatformServer();
  PlatformServer(const PlatformServer&) = delete;
  PlatformServer& operator=(const PlatformServer&) = delete;

  /// Starts to listen.
  /// @param aAddress IPv4 address within 127.0.0.0/8.
  /// @param aPort 0 picks a free port.
  /// @returns False if the address is not allowed or cannot be bound.
  bool Init(const std::string& aAddress, uint16_t aPort);
  /// Ends blocking watches, completes the calls in progress and stops listening.
  void Shutdown();

  /// @returns The port in use; 0 before Init().
  uint16_t Port() const;

private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}
