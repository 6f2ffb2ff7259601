#include "measure_table.h"

#include <popt.h>

#include <cstring>
#include <iostream>
#include <memory>

namespace sardinespoke {
namespace {

constexpr int kExitUsage = 1;

struct Options
{
  std::string deployment_ = "all";
  std::string measure_;
  long seed_ = 1;
  int list_ = 0;
};

/// @returns Whether the options are valid; otherwise an explanation was printed.
bool
ParseOptions(int aCount, const char** aArguments, Options& aOptions)
{
  char* deployment = nullptr;
  char* measure = nullptr;
  const poptOption table[] = {
    { "deployment", 'd', POPT_ARG_STRING, &deployment, 0, "Deployment", "inyana|atlas|all" },
    { "seed", 's', POPT_ARG_LONG, &aOptions.seed_, 0, "Random seed (default 1)", "N" },
    { "measure", 'm', POPT_ARG_STRING, &measure, 0, "Only this group of measures", "NAME" },
    { "list", 'l', POPT_ARG_NONE, &aOptions.list_, 0, "List the groups", nullptr },
    POPT_AUTOHELP POPT_TABLEEND
  };
  const std::unique_ptr<std::remove_pointer_t<poptContext>, poptContext (*)(poptContext)> context(
    poptGetContext(nullptr, aCount, aArguments, table, 0), poptFreeContext);
  const int result = poptGetNextOpt(context.get());
  const std::unique_ptr<char, void (*)(void*)> deploymentOwner(deployment, std::free);
  const std::unique_ptr<char, void (*)(void*)> measureOwner(measure, std::free);
  if (result < -1) {
    std::cerr << poptBadOption(context.get(), 0) << ": " << poptStrerror(result) << '\n';
    return false;
  }
  if (poptPeekArg(context.get()) != nullptr) {
    std::cerr << "unexpected argument: " << poptPeekArg(context.get()) << '\n';
    return false;
  }
  aOptions.deployment_ = deployment == nullptr ? "all" : deployment;
  aOptions.measure_ = measure == nullptr ? "" : measure;
  const std::string& name = aOptions.deployment_;
  if (name != "inyana" && name != "atlas" && name != "all") {
    std::cerr << "--deployment: expected inyana, atlas or all, found \"" << name << "\"\n";
    return false;
  }
  return true;
}

int
RunGroups(const Options& aOptions)
{
  MeasureWriter writer(std::cout);
  bool found = false;
  for (const MeasureGroup& group : MeasureGroups()) {
    if (!aOptions.measure_.empty() && aOptions.measure_ != group.name_) {
      continue;
    }
    found = true;
    for (const char* deployment : { "inyana", "atlas" }) {
      if (aOptions.deployment_ == "all" || aOptions.deployment_ == deployment) {
        group.run_(writer, deployment, static_cast<uint64_t>(aOptions.seed_));
      }
    }
  }
  if (!found) {
    std::cerr << "--measure: no group \"" << aOptions.measure_ << "\"; see --list\n";
    return kExitUsage;
  }
  return 0;
}

}
}

int
main(int aCount, char** aArguments)
{
  using namespace sardinespoke;
  Options options;
  if (!ParseOptions(aCount, const_cast<const char**>(aArguments), options)) {
    return kExitUsage;
  }
  if (options.list_ != 0) {
    for (const MeasureGroup& group : MeasureGroups()) {
      std::cout << group.name_ << "  " << group.help_ << '\n';
    }
    return 0;
  }
  return RunGroups(options);
}
