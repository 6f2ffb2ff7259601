#include "commands.h"
#include "load_run.h"
#include "text_list.h"

#include <popt.h>

#include <cstdio>
#include <fstream>
#include <iostream>

namespace sardinespoke {

namespace {

constexpr int kMaxCallers = 128;
constexpr int kMaxDurationSeconds = 3600;

/// Values of the options, in the types that popt writes.
struct RunOptions
{
  const char* targets_ = "";
  const char* services_ = "births,sales,walks,reports,charges";
  const char* shape_ = "flat";
  const char* history_ = "";
  double rate_ = 0;
  double nonIdempotent_ = 0.2;
  int callers_ = 8;
  int runMs_ = 20;
  int bytes_ = 500;
  int seconds_ = 10;
  int maxRequests_ = 1'000'000;
  int deadlineMs_ = 0;
  int timeoutMs_ = 40000;
  int tries_ = 4;
  int seed_ = 1;
};

bool
ParseOptions(int aArgCount, const char** aArgs, RunOptions& aOut)
{
  const poptOption options[] = {
    { "targets", 0, POPT_ARG_STRING, &aOut.targets_, 0, "entry hosts", "IP:PORT,..." },
    { "services", 0, POPT_ARG_STRING, &aOut.services_, 0, "services", "NAME,..." },
    { "shape", 0, POPT_ARG_STRING, &aOut.shape_, 0, "flat, inyana or atlas", "NAME" },
    { "rate", 0, POPT_ARG_DOUBLE, &aOut.rate_, 0, "mean per service; 0 = no pause", "PER-SECOND" },
    { "callers", 0, POPT_ARG_INT, &aOut.callers_, 0, "callers per service", "N" },
    { "non-idempotent", 0, POPT_ARG_DOUBLE, &aOut.nonIdempotent_, 0, "share, 0 to 1", "SHARE" },
    { "run-ms", 0, POPT_ARG_INT, &aOut.runMs_, 0, "mean run time", "MS" },
    { "bytes", 0, POPT_ARG_INT, &aOut.bytes_, 0, "length of an answer", "N" },
    { "seconds", 0, POPT_ARG_INT, &aOut.seconds_, 0, "duration", "S" },
    { "max-requests", 0, POPT_ARG_INT, &aOut.maxRequests_, 0, "stop after this many", "N" },
    { "deadline-ms", 0, POPT_ARG_INT, &aOut.deadlineMs_, 0, "longest wait to start", "MS" },
    { "timeout-ms", 0, POPT_ARG_INT, &aOut.timeoutMs_, 0, "longest call", "MS" },
    { "tries", 0, POPT_ARG_INT, &aOut.tries_, 0, "most tries of a request", "N" },
    { "seed", 0, POPT_ARG_INT, &aOut.seed_, 0, "seed of all random choices", "N" },
    { "history", 0, POPT_ARG_STRING, &aOut.history_, 0, "file for the history", "FILE" },
    POPT_AUTOHELP POPT_TABLEEND
  };
  poptContext context = poptGetContext("sardinespoke-load run", aArgCount, aArgs, options, 0);
  const int parsed = poptGetNextOpt(context);
  const bool valid = parsed == -1 && !poptPeekArg(context);
  poptFreeContext(context);
  const bool inRange = aOut.callers_ > 0 && aOut.callers_ <= kMaxCallers && aOut.seconds_ > 0 &&
                       aOut.seconds_ <= kMaxDurationSeconds && aOut.rate_ >= 0 &&
                       aOut.nonIdempotent_ >= 0 && aOut.nonIdempotent_ <= 1 && aOut.tries_ > 0 &&
                       aOut.timeoutMs_ > 0 && aOut.runMs_ >= 0 && aOut.bytes_ >= 0 &&
                       aOut.maxRequests_ > 0 && aOut.deadlineMs_ >= 0;
  return valid && inRange && *aOut.targets_ && *aOut.services_;
}

LoadSettings
ToSettings(const RunOptions& aOptions)
{
  LoadSettings settings;
  settings.client_.targets_ = SplitList(aOptions.targets_);
  settings.client_.timeout_ = std::chrono::milliseconds(aOptions.timeoutMs_);
  settings.client_.deadline_ = std::chrono::milliseconds(aOptions.deadlineMs_);
  settings.client_.tries_ = static_cast<uint32_t>(aOptions.tries_);
  settings.services_ = SplitList(aOptions.services_);
  settings.shape_ = FindLoadShape(aOptions.shape_);
  settings.rate_ = aOptions.rate_;
  settings.callers_ = static_cast<uint32_t>(aOptions.callers_);
  settings.nonIdempotentShare_ = aOptions.nonIdempotent_;
  settings.meanRunTime_ = std::chrono::milliseconds(aOptions.runMs_);
  settings.responseBytes_ = static_cast<size_t>(aOptions.bytes_);
  settings.duration_ = std::chrono::seconds(aOptions.seconds_);
  settings.maxRequests_ = static_cast<uint64_t>(aOptions.maxRequests_);
  settings.seed_ = static_cast<uint64_t>(aOptions.seed_);
  return settings;
}

}

int
RunCommand(int aArgCount, const char** aArgs)
{
  RunOptions options;
  if (!ParseOptions(aArgCount, aArgs, options)) {
    std::fprintf(stderr, "invalid arguments; see sardinespoke-load run --help\n");
    return kUsage;
  }
  const LoadSettings settings = ToSettings(options);
  if (settings.shape_.name_.empty() || settings.client_.targets_.empty()) {
    std::fprintf(stderr, "unknown shape or no targets; see sardinespoke-load run --help\n");
    return kUsage;
  }
  std::ofstream file;
  if (*options.history_) {
    file.open(options.history_);
  }
  if (*options.history_ && !file) {
    std::fprintf(stderr, "cannot write %s\n", options.history_);
    return kUsage;
  }
  HistoryWriter history(file.is_open() ? &file : nullptr);
  LoadRun run(settings, history);
  std::cout << run.Run().dump(2) << std::endl;
  return kDone;
}

}
