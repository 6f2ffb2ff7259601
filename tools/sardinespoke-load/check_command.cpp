#include "commands.h"
#include "history_checker.h"
#include "record_client.h"
#include "text_list.h"

#include <popt.h>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <iostream>

namespace sardinespoke {

namespace {

constexpr size_t kMaxListed = 20;

nlohmann::json
ToJson(const HistoryVerdict& aVerdict)
{
  nlohmann::json listed = nlohmann::json::array();
  for (const Violation& violation : aVerdict.violations_) {
    if (listed.size() == kMaxListed) {
      break;
    }
    listed.push_back({ { "kind", ViolationName(violation.kind_) },
                       { "nonce", violation.nonce_ },
                       { "detail", violation.detail_ } });
  }
  return { { "requests", aVerdict.requests_ },
           { "runs", aVerdict.runs_ },
           { "unfinished", aVerdict.unfinished_ },
           { "violations", aVerdict.violations_.size() },
           { "first_violations", listed } };
}

/// Appends the lines of a file. @returns Whether it could be read.
bool
Load(const std::string& aFile, std::vector<HistoryLine>& aLines)
{
  std::ifstream in(aFile);
  if (!in) {
    std::fprintf(stderr, "cannot read %s\n", aFile.c_str());
    return false;
  }
  try {
    const std::vector<HistoryLine> lines = ReadHistory(in);
    aLines.insert(aLines.end(), lines.begin(), lines.end());
  } catch (const nlohmann::json::exception& error) {
    std::fprintf(stderr, "%s: %s\n", aFile.c_str(), error.what());
    return false;
  }
  return true;
}

}

int
CheckCommand(int aArgCount, const char** aArgs)
{
  const char* histories = "";
  const char* record = "";
  const poptOption options[] = {
    { "history", 0, POPT_ARG_STRING, &histories, 0, "histories to merge", "FILE,..." },
    { "record", 0, POPT_ARG_STRING, &record, 0, "control address of the stand-in", "IP:PORT" },
    POPT_AUTOHELP POPT_TABLEEND
  };
  poptContext context = poptGetContext("sardinespoke-load check", aArgCount, aArgs, options, 0);
  const int parsed = poptGetNextOpt(context);
  const bool valid = parsed == -1 && !poptPeekArg(context) && *histories && *record;
  poptFreeContext(context);
  if (!valid) {
    std::fprintf(stderr, "invalid arguments; see sardinespoke-load check --help\n");
    return kUsage;
  }
  std::vector<HistoryLine> lines;
  for (const std::string& file : SplitList(histories)) {
    if (!Load(file, lines)) {
      return kUsage;
    }
  }
  const auto runs = FetchRecord(record);
  if (!runs) {
    std::fprintf(stderr, "cannot read the record from %s\n", record);
    return kUnreachable;
  }
  const HistoryVerdict verdict = CheckHistory(lines, runs->runs_, runs->dropped_);
  std::cout << ToJson(verdict).dump(2) << std::endl;
  return verdict.violations_.empty() ? kDone : kFailed;
}

}
