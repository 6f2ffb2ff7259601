#include "commands.h"
#include "load_bench.h"
#include "text_list.h"

#include <popt.h>

#include <cstdio>
#include <iostream>

namespace sardinespoke {

namespace {

constexpr int kMaxCallers = 256;
constexpr int kMaxPhaseSeconds = 600;

}

int
BenchCommand(int aArgCount, const char** aArgs)
{
  const char* entry = "";
  const char* direct = "";
  const char* control = "";
  const char* service = "births";
  int callers = 8;
  int seconds = 5;
  int runMs = 0;
  int bytes = 500;
  int pid = 0;
  const poptOption options[] = {
    { "entry", 0, POPT_ARG_STRING, &entry, 0, "caller address of the entry host", "IP:PORT" },
    { "direct", 0, POPT_ARG_STRING, &direct, 0, "workers behind it", "IP:PORT,..." },
    { "control", 0, POPT_ARG_STRING, &control, 0, "control address of the stand-in", "IP:PORT" },
    { "service", 0, POPT_ARG_STRING, &service, 0, "service", "NAME" },
    { "callers", 0, POPT_ARG_INT, &callers, 0, "callers", "N" },
    { "seconds", 0, POPT_ARG_INT, &seconds, 0, "length of each of two phases", "S" },
    { "run-ms", 0, POPT_ARG_INT, &runMs, 0, "run time", "MS" },
    { "bytes", 0, POPT_ARG_INT, &bytes, 0, "length of an answer", "N" },
    { "pid", 0, POPT_ARG_INT, &pid, 0, "process of the entry host", "PID" },
    POPT_AUTOHELP POPT_TABLEEND
  };
  poptContext context = poptGetContext("sardinespoke-load bench", aArgCount, aArgs, options, 0);
  const int parsed = poptGetNextOpt(context);
  const bool valid = parsed == -1 && !poptPeekArg(context) && *entry && *direct && callers > 0 &&
                     callers <= kMaxCallers && seconds > 0 && seconds <= kMaxPhaseSeconds &&
                     runMs >= 0 && bytes >= 0;
  poptFreeContext(context);
  if (!valid) {
    std::fprintf(stderr, "invalid arguments; see sardinespoke-load bench --help\n");
    return kUsage;
  }
  BenchSettings settings;
  settings.entry_ = entry;
  settings.direct_ = SplitList(direct);
  settings.control_ = control;
  settings.service_ = service;
  settings.callers_ = static_cast<uint32_t>(callers);
  settings.phase_ = std::chrono::seconds(seconds);
  settings.runTime_ = std::chrono::milliseconds(runMs);
  settings.responseBytes_ = static_cast<size_t>(bytes);
  settings.entryPid_ = pid;
  const nlohmann::json result = LoadBench(settings).Run();
  std::cout << result.dump(2) << std::endl;
  return result.at("failed") == 0 ? kDone : kFailed;
}

}
