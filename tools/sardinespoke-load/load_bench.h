#pragma once

#include "latency.h"
#include "sardinespoke/curl_backend_link.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

namespace sardinespoke {

/// What the comparison of an entry host with direct calls measures.
struct BenchSettings
{
  std::string entry_;               ///< Caller address of the entry host.
  std::vector<std::string> direct_; ///< Addresses of the workers behind it.
  std::string control_;             ///< Control address of the workers' stand-in; may be empty.
  std::string service_ = "births";
  std::chrono::milliseconds runTime_{ 0 };
  size_t responseBytes_ = 500;
  uint32_t callers_ = 8;
  std::chrono::milliseconds phase_{ 5000 }; ///< Length of each of the two phases.
  int entryPid_ = 0;                        ///< Process of the entry host; 0 = unknown.
};

/// Compares calls through an entry host with direct calls to the same workers.
///
/// The first phase finds the highest rate through the entry host. The second one sends half of that
/// rate through it, and as many direct calls in between, so that both see the same machine.
class LoadBench
{
public:
  explicit LoadBench(BenchSettings aSettings);

  nlohmann::json Run();

private:
  /// Results of one phase.
  struct Phase
  {
    LatencySet entry_;
    LatencySet direct_;
    uint64_t failed_ = 0;
    double seconds_ = 0;
    double cpuSeconds_ = 0; ///< Of the entry host's process.
    double connectionsPerThousand_ = -1;
  };

  /// @param aRate Calls per second through the entry host; 0 = as many as the callers can, without
  /// direct calls.
  Phase RunPhase(double aRate);
  void CallLoop(uint32_t aCaller, double aRate, Phase& aPhase);
  /// @returns Microseconds, or -1 if the call failed.
  int64_t Call(CurlBackendLink& aLink, const std::string& aAddress, const std::string& aPrefix);
  int64_t WorkerConnections();
  double EntryCpuSeconds() const;

  const BenchSettings settings_;
  CurlBackendLink entryLink_;
  CurlBackendLink directLink_;
  std::mutex mutex_;
};

}
