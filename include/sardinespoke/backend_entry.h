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

/// The entry that a backend server writes to the registry.
struct BackendEntry
{
  std::string id_;
  std::string service_;
  std::string address_; ///< "ip:port".
  std::string zone_;
  std::string host_; ///< The host that it runs on; a host outlives its backend servers.
  std::string rack_;
  std::vector<std::string> labels_;
  Resources capacity_;
  bool draining_ = false;
  int64_t startTimeMs_ = 0; ///< Start of this incarnation in Unix milliseconds; 0 if unknown.
};

/// State of a host as host control reports it.
enum class HostState
{
  Up,
  Moving,
  Maintenance,
  Down,
  Count
};

/// A host in the list of host control.
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
  std::chrono::milliseconds duration_{ 0 }; ///< Time within which all hosts should be maintained.
  uint32_t maxDown_ = 1;                    ///< Hosts that it may take down at the same time.
};

}
