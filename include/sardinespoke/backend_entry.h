#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace sardinespoke {

/// Processors, memory and accelerators.
struct Resources
{
  int64_t cpuMilli_ = 0; ///< Thousandths of a core.
  int64_t memoryMb_ = 0;
  int64_t accelerators_ = 0;
};

/// What a backend server says of itself in the registry.
struct BackendEntry
{
  std::string id_;
  std::string service_;
  std::string address_; ///< "ip:port".
  std::string zone_;
  std::string host_; ///< The host that it runs on; outlives the backend server.
  std::string rack_;
  std::vector<std::string> labels_;
  Resources capacity_;
  bool draining_ = false;
  int64_t startTimeMs_ = 0; ///< Start of this life, in Unix milliseconds; 0 if unknown.
};

/// Whether a host can be moved or maintained.
enum class HostState
{
  Up,
  Moving,
  Maintenance,
  Down,
  Count
};

/// A host as host control lists it.
struct HostEntry
{
  std::string id_;
  std::string pool_;
  std::string zone_;
  std::string rack_;
  HostState state_ = HostState::Down;
  Resources capacity_;
  std::string backend_; ///< Id of its backend server; empty while it has none.
};

/// An operator's request to maintain hosts.
struct RolloutRequest
{
  int64_t number_ = 0;
  std::vector<std::string> hosts_;
  std::chrono::milliseconds duration_{ 0 }; ///< Time in which all should be maintained.
  uint32_t maxDown_ = 1;                    ///< Hosts down for it at once.
};

}
