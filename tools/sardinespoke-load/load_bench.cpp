#include "load_bench.h"

#include "answer_body.h"

#include <unistd.h>

#include <fstream>
#include <sstream>
#include <thread>

namespace sardinespoke {

namespace {

using Clock = std::chrono::steady_clock;
constexpr char kNonce[] = "bench";
constexpr double kPerThousand = 1000;

CurlLinkSettings
LinkSettings()
{
  CurlLinkSettings settings;
  settings.connectionsPerHost_ = 1024;
  return settings;
}

}

LoadBench::LoadBench(BenchSettings aSettings)
  : settings_(std::move(aSettings))
  , entryLink_(LinkSettings())
  , directLink_(LinkSettings())
{
}

int64_t
LoadBench::Call(CurlBackendLink& aLink, const std::string& aAddress, const std::string& aPrefix)
{
  BackendRequest request;
  request.address_ = aAddress;
  request.method_ = "GET";
  request.path_ = aPrefix + "/work?ms=" + std::to_string(settings_.runTime_.count()) +
                  "&bytes=" + std::to_string(settings_.responseBytes_) + "&nonce=" + kNonce;
  request.timeout_ = std::chrono::seconds(30);
  const auto start = Clock::now();
  const bool right = leaf::try_handle_all(
    [&]() -> leaf::result<bool> {
      BOOST_LEAF_AUTO(answer, aLink.Send(request));
      return answer.body_ == MakeResponseBody(kNonce, settings_.responseBytes_);
    },
    [] { return false; });
  const auto time = std::chrono::duration_cast<std::chrono::microseconds>(Clock::now() - start);
  return right ? time.count() : -1;
}

void
LoadBench::CallLoop(uint32_t aCaller, double aRate, Phase& aPhase)
{
  Phase own;
  const auto start = Clock::now();
  const auto end = start + settings_.phase_;
  const bool paced = aRate > 0;
  const std::chrono::duration<double> interval(paced ? settings_.callers_ / aRate : 0);
  const std::string prefix = "/v1/services/" + settings_.service_;
  // The callers start one after the other within one interval.
  auto due =
    start + std::chrono::duration_cast<Clock::duration>(interval * aCaller / settings_.callers_);
  for (uint64_t round = 0; due < end && Clock::now() < end; ++round) {
    if (paced) {
      std::this_thread::sleep_until(due);
      due += std::chrono::duration_cast<Clock::duration>(interval);
    }
    const std::string& worker = settings_.direct_.at((round + aCaller) % settings_.direct_.size());
    // The order changes from round to round, so that neither kind always comes after the sleep.
    const bool directFirst = round % 2 == 0;
    int64_t direct = 0;
    if (paced && directFirst) {
      direct = Call(directLink_, worker, "");
    }
    const int64_t entry = Call(entryLink_, settings_.entry_, prefix);
    if (paced && !directFirst) {
      direct = Call(directLink_, worker, "");
    }
    if (entry < 0 || direct < 0) {
      ++own.failed_;
      continue;
    }
    own.entry_.Add(entry);
    if (paced) {
      own.direct_.Add(direct);
    }
  }
  const std::lock_guard lock(mutex_);
  aPhase.entry_.Merge(own.entry_);
  aPhase.direct_.Merge(own.direct_);
  aPhase.failed_ += own.failed_;
}

LoadBench::Phase
LoadBench::RunPhase(double aRate)
{
  Phase phase;
  const int64_t connections = WorkerConnections();
  const uint64_t directBefore = directLink_.Counters().connectionsOpened_;
  const double cpuBefore = EntryCpuSeconds();
  const auto start = Clock::now();
  std::vector<std::thread> threads;
  for (uint32_t caller = 0; caller < settings_.callers_; ++caller) {
    threads.emplace_back([this, caller, aRate, &phase] { CallLoop(caller, aRate, phase); });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  phase.seconds_ = std::chrono::duration<double>(Clock::now() - start).count();
  phase.cpuSeconds_ = EntryCpuSeconds() - cpuBefore;
  if (connections >= 0 && phase.entry_.Size() > 0) {
    const uint64_t direct = directLink_.Counters().connectionsOpened_ - directBefore;
    const auto opened =
      static_cast<double>(WorkerConnections() - connections) - static_cast<double>(direct);
    phase.connectionsPerThousand_ =
      opened * kPerThousand / static_cast<double>(phase.entry_.Size());
  }
  return phase;
}

int64_t
LoadBench::WorkerConnections()
{
  if (settings_.control_.empty()) {
    return -1;
  }
  BackendRequest request;
  request.address_ = settings_.control_;
  request.method_ = "GET";
  request.path_ = "/workers";
  request.timeout_ = std::chrono::seconds(5);
  return leaf::try_handle_all(
    [&]() -> leaf::result<int64_t> {
      BOOST_LEAF_AUTO(answer, directLink_.Send(request));
      int64_t connections = 0;
      const auto list = nlohmann::json::parse(answer.body_);
      for (const auto& worker : list.at("workers")) {
        connections += worker.at("connections").get<int64_t>();
      }
      return connections;
    },
    [] { return int64_t{ -1 }; });
}

double
LoadBench::EntryCpuSeconds() const
{
  // Fields 14 and 15 of /proc/PID/stat, counted after the command in parentheses (man 5 proc).
  constexpr int kFieldsBefore = 11;
  std::ifstream file("/proc/" + std::to_string(settings_.entryPid_) + "/stat");
  std::string text;
  std::getline(file, text);
  const size_t command = text.rfind(')');
  if (settings_.entryPid_ == 0 || command == std::string::npos) {
    return 0;
  }
  std::istringstream fields(text.substr(command + 1));
  std::string skipped;
  for (int i = 0; i < kFieldsBefore; ++i) {
    fields >> skipped;
  }
  double user = 0;
  double system = 0;
  fields >> user >> system;
  return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

nlohmann::json
LoadBench::Run()
{
  // Without the first calls, which open the connections.
  for (uint32_t i = 0; i < settings_.callers_; ++i) {
    Call(entryLink_, settings_.entry_, "/v1/services/" + settings_.service_);
  }
  Phase full = RunPhase(0);
  const double highest = static_cast<double>(full.entry_.Size()) / full.seconds_;
  Phase half = RunPhase(highest / 2);
  const double directP50 = half.direct_.Percentile(0.5);
  const double directP99 = half.direct_.Percentile(0.99);
  const double entryP50 = half.entry_.Percentile(0.5);
  const double entryP99 = half.entry_.Percentile(0.99);
  nlohmann::json result = {
    { "callers", settings_.callers_ },
    { "highest_rate", highest },
    { "half_rate", static_cast<double>(half.entry_.Size()) / half.seconds_ },
    { "requests", full.entry_.Size() + half.entry_.Size() },
    { "failed", full.failed_ + half.failed_ },
    { "direct_p50_ms", directP50 },
    { "direct_p99_ms", directP99 },
    { "entry_p50_ms", entryP50 },
    { "entry_p99_ms", entryP99 },
    { "added_p50_ms", entryP50 - directP50 },
    { "added_p99_ms", entryP99 - directP99 },
    { "connections_per_1000", half.connectionsPerThousand_ },
  };
  if (full.cpuSeconds_ > 0) {
    result["requests_per_core_second"] = static_cast<double>(full.entry_.Size()) / full.cpuSeconds_;
  }
  return result;
}

}
