#pragma once

#include "caller_client.h"
#include "history.h"
#include "latency.h"
#include "load_shape.h"

#include <nlohmann/json.hpp>

#include <array>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <vector>

namespace sardinespoke {

/// What a load run sends.
struct LoadSettings
{
  ClientSettings client_;
  std::vector<std::string> services_;
  LoadShape shape_;
  double rate_ = 0;      ///< Mean requests per second and service; 0 = as many as the callers can.
  uint32_t callers_ = 8; ///< Callers per service; the most requests in flight.
  double nonIdempotentShare_ = 0;
  std::chrono::milliseconds meanRunTime_{ 20 };
  size_t responseBytes_ = 500;
  std::chrono::milliseconds duration_{ 10000 };
  uint64_t maxRequests_ = 1'000'000;
  uint64_t seed_ = 1;
};

/// Replays the load of a deployment and accounts for every request.
class LoadRun
{
public:
  LoadRun(LoadSettings aSettings, HistoryWriter& aHistory);

  /// Runs until the duration or the number of requests is reached and all requests have ended.
  /// @returns The summary.
  nlohmann::json Run();

private:
  using Clock = std::chrono::steady_clock;
  static constexpr size_t kEnds = static_cast<size_t>(HistoryType::Count);

  /// Requests of one service: due, and what became of the others.
  struct Service
  {
    std::string name_;
    uint32_t index_ = 0;
    std::mutex mutex_;
    std::condition_variable due_;
    std::deque<Clock::time_point> queue_;
    bool closed_ = false;
    uint64_t shed_ = 0; ///< Not sent, because too many were waiting for a free caller.
    uint64_t sent_ = 0;
    uint64_t wrongAnswers_ = 0;
    uint64_t retried_ = 0;
    std::array<uint64_t, kEnds> ends_{};
    LatencySet latency_; ///< From when the request was due, so that a late start counts.
  };

  void Generate(Service& aService);
  void CallLoop(Service& aService, uint64_t aSeed);
  bool NextDue(Service& aService, Clock::time_point& aDue);
  bool TakeBudget();
  void Send(Service& aService, Clock::time_point aDue, CallerClient::Random& aRandom);
  void Account(Service& aService, const HistoryLine& aEnd, Clock::time_point aDue);
  nlohmann::json Summary(double aSeconds);

  const LoadSettings settings_;
  HistoryWriter& history_;
  CallerClient client_;
  std::string noncePrefix_;
  std::deque<Service> services_;
  Clock::time_point start_;
  Clock::time_point end_;
  std::atomic<uint64_t> requests_{ 0 };
};

}
