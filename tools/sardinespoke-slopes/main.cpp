#include "slope_groups.h"
#include "synthetic.h"

#include <popt.h>

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <string>

namespace sardinespoke {

const std::vector<SlopeGroup>&
SlopeGroups()
{
  static const std::vector<SlopeGroup> groups{
    { "documents", "bytes, processor time and memory of the documents", &MeasureDocuments },
    { "scheduling", "processor time of the scheduler core and of shares", &MeasureScheduling },
    { "job-scheduling", "time of the leader's rounds while jobs wait", &MeasureJobScheduling },
    { "planner", "processor time of a planner step", &MeasurePlanner },
    { "exchange", "bytes of demand reports", &MeasureExchange },
    { "request-ids", "processor time and memory of request ids", &MeasureRequestIds },
    { "store-calls", "calls a second at the platform", &MeasureStoreCalls },
    { "http-calls", "processor time of HTTP calls to many servers", &MeasureHttpCalls },
  };
  return groups;
}

namespace {

constexpr int kExitUsage = 1;

int
RunGroups(const std::string& aName)
{
  bool found = false;
  for (const SlopeGroup& group : SlopeGroups()) {
    if (!aName.empty() && aName != group.name_) {
      continue;
    }
    found = true;
    group.run_(std::cout);
  }
  if (!found) {
    std::cerr << "--measure: no group \"" << aName << "\"; see --list\n";
    return kExitUsage;
  }
  return 0;
}

}
}

int
main(int aCount, const char** aArguments)
{
  using namespace sardinespoke;
  char* measure = nullptr;
  int list = 0;
  int profiles = 0;
  int hosts = 0;
  const poptOption table[] = {
    { "measure", 'm', POPT_ARG_STRING, &measure, 0, "Only this group of slopes", "NAME" },
    { "list", 'l', POPT_ARG_NONE, &list, 0, "List the groups", nullptr },
    { "print-profiles", 'p', POPT_ARG_INT, &profiles, 0, "Print a profile document", "COUNT" },
    { "print-fleet", 'f', POPT_ARG_INT, &hosts, 0, "Print a fleet document", "COUNT" },
    POPT_AUTOHELP POPT_TABLEEND
  };
  const std::unique_ptr<std::remove_pointer_t<poptContext>, poptContext (*)(poptContext)> context(
    poptGetContext(nullptr, aCount, aArguments, table, 0), poptFreeContext);
  const int result = poptGetNextOpt(context.get());
  const std::unique_ptr<char, void (*)(void*)> measureOwner(measure, std::free);
  if (result < -1) {
    std::cerr << poptBadOption(context.get(), 0) << ": " << poptStrerror(result) << '\n';
    return kExitUsage;
  }
  if (poptPeekArg(context.get()) != nullptr) {
    std::cerr << "unexpected argument: " << poptPeekArg(context.get()) << '\n';
    return kExitUsage;
  }
  if (list != 0) {
    for (const SlopeGroup& group : SlopeGroups()) {
      std::cout << group.name_ << "  " << group.help_ << '\n';
    }
    return 0;
  }
  if (profiles > 0) {
    SyntheticSize size;
    size.profiles_ = static_cast<uint32_t>(profiles);
    size.pools_ = std::min(size.pools_, size.profiles_);
    std::cout << MakeProfiles(size).Serialize() << '\n';
    return 0;
  }
  if (hosts > 0) {
    SyntheticSize size;
    size.workers_ = static_cast<uint32_t>(hosts);
    std::cout << MakeFleet(size).Serialize() << '\n';
    return 0;
  }
  return RunGroups(measure == nullptr ? "" : measure);
}
