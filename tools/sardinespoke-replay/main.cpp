#include "load_replay.h"

#include <nlohmann/json.hpp>
#include <popt.h>

#include <array>
#include <chrono>
#include <ctime>
#include <iostream>
#include <memory>

namespace {

using sardinespoke::LoadReplay;
using sardinespoke::ReplayOutcome;
using sardinespoke::ReplayPlan;
using sardinespoke::ReplayResult;

constexpr int kUsageExit = 2;

nlohmann::json
ToJson(const ReplayOutcome& aOutcome)
{
  return { { "offered", aOutcome.offered_ },
           { "in_time", aOutcome.inTime_ },
           { "late", aOutcome.late_ },
           { "unfinished", aOutcome.unfinished_ },
           { "work_offered", aOutcome.workOffered_ },
           { "work_in_time", aOutcome.workInTime_ } };
}

void
Play(uint64_t aSeed, bool aLarge, double aLoad)
{
  ReplayPlan plan =
    aLarge ? sardinespoke::LargeReplayPlan(aSeed) : sardinespoke::SmallReplayPlan(aSeed);
  for (sardinespoke::ReplayQueue& queue : plan.queues_) {
    queue.jobsPerSecond_ *= aLoad;
  }
  LoadReplay replay(plan);
  const std::clock_t begin = std::clock();
  const ReplayResult result = replay.Run();
  nlohmann::json line{ { "seed", aSeed },
                       { "large", aLarge },
                       { "load", aLoad },
                       { "cpu_s", static_cast<double>(std::clock() - begin) / CLOCKS_PER_SEC },
                       { "host_s", result.hostSeconds_ },
                       { "starts", result.starts_ },
                       { "looks", result.polls_ },
                       { "store_calls", result.storeCalls_ },
                       { "violations", replay.World().Fleet().Violations().first_ },
                       { "total", ToJson(result.total_) } };
  for (const auto& [pool, outcome] : result.byPool_) {
    line["pools"][pool] = ToJson(outcome);
  }
  std::cout << line.dump() << '\n';
}

}

int
main(int aCount, const char** aArguments)
{
  int seed = 1;
  int seeds = 1;
  int large = 0;
  double load = 1.0;
  const std::array<poptOption, 6> table{ {
    { "seed", 's', POPT_ARG_INT, &seed, 0, "first seed", "N" },
    { "seeds", 'n', POPT_ARG_INT, &seeds, 0, "number of seeds to play", "N" },
    { "load", 'x', POPT_ARG_DOUBLE, &load, 0, "times the plan's rate of jobs", "X" },
    { "large", 'l', POPT_ARG_NONE, &large, 0, "350 hosts instead of 49", nullptr },
    POPT_AUTOHELP POPT_TABLEEND,
  } };
  const std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> context(
    poptGetContext("sardinespoke-replay", aCount, aArguments, table.data(), 0), &poptFreeContext);
  const int result = poptGetNextOpt(context.get());
  if (result < -1 || seed < 0 || seeds < 1 || load <= 0) {
    std::cerr << poptBadOption(context.get(), 0) << ": "
              << (result < -1 ? poptStrerror(result)
                              : "seeds are whole numbers from 0, the load is above 0")
              << '\n';
    return kUsageExit;
  }
  for (int index = 0; index < seeds; ++index) {
    Play(static_cast<uint64_t>(seed) + static_cast<uint64_t>(index), large != 0, load);
  }
  return 0;
}
