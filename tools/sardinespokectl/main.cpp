#include "cli.h"

#include <popt.h>

#include <array>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <sstream>

namespace {

using sardinespoke::Cli;
using sardinespoke::CliOptions;
using sardinespoke::ExitCode;

std::vector<std::string>
SplitAddresses(const std::string& aList)
{
  std::vector<std::string> addresses;
  std::istringstream stream(aList);
  for (std::string address; std::getline(stream, address, ',');) {
    if (!address.empty()) {
      addresses.push_back(address);
    }
  }
  return addresses;
}

/// Raw values as popt fills them in.
struct RawOptions
{
  char* admin_ = nullptr;
  char* author_ = nullptr;
  char* changeId_ = nullptr;
  char* type_ = nullptr;
  char* host_ = nullptr;
  int json_ = 0;
  int noWait_ = 0;
  int help_ = 0;
  int timeout_ = 16;
  long long baseRevision_ = 0;
};

CliOptions
OptionsOf(const RawOptions& aRaw)
{
  CliOptions options;
  const char* environment = std::getenv("SARDINESPOKE_ADMIN");
  if (aRaw.admin_ != nullptr) {
    options.admin_ = SplitAddresses(aRaw.admin_);
  } else if (environment != nullptr) {
    options.admin_ = SplitAddresses(environment);
  }
  const char* user = std::getenv("USER");
  options.author_ = aRaw.author_ != nullptr ? aRaw.author_ : (user != nullptr ? user : "operator");
  options.changeId_ = aRaw.changeId_ != nullptr ? aRaw.changeId_ : "";
  options.type_ = aRaw.type_ != nullptr ? aRaw.type_ : "";
  options.host_ = aRaw.host_ != nullptr ? aRaw.host_ : "";
  options.json_ = aRaw.json_ != 0;
  options.noWait_ = aRaw.noWait_ != 0;
  options.timeout_ = std::chrono::seconds(aRaw.timeout_);
  options.baseRevision_ = static_cast<uint64_t>(aRaw.baseRevision_);
  return options;
}

}

int
main(int aCount, const char** aArguments)
{
  RawOptions raw;
  const std::array<poptOption, 11> table{ {
    { "admin", 'a', POPT_ARG_STRING, &raw.admin_, 0, "admin addresses of daemons", "IP:PORT,..." },
    { "json", 'j', POPT_ARG_NONE, &raw.json_, 0, "print JSON", nullptr },
    { "no-wait", 0, POPT_ARG_NONE, &raw.noWait_, 0, "apply: do not wait until in force", nullptr },
    { "timeout", 't', POPT_ARG_INT, &raw.timeout_, 0, "longest wait (default 16)", "SECONDS" },
    { "author", 0, POPT_ARG_STRING, &raw.author_, 0, "author of a change (default $USER)", "NAME" },
    { "change-id", 0, POPT_ARG_STRING, &raw.changeId_, 0, "repeat the change with this id", "ID" },
    { "base-revision",
      0,
      POPT_ARG_LONGLONG,
      &raw.baseRevision_,
      0,
      "refuse the change if another was accepted after this revision",
      "N" },
    { "type", 0, POPT_ARG_STRING, &raw.type_, 0, "time line: event types that begin so", "TYPE" },
    { "host", 0, POPT_ARG_STRING, &raw.host_, 0, "time line: events about this host", "ID" },
    { "help", 'h', POPT_ARG_NONE, &raw.help_, 0, "print this help", nullptr },
    POPT_TABLEEND,
  } };
  const std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> context(
    poptGetContext("sardinespokectl", aCount, aArguments, table.data(), 0), &poptFreeContext);
  poptSetOtherOptionHelp(context.get(), "[OPTION...] COMMAND [ARGUMENT...]");
  const int result = poptGetNextOpt(context.get());
  if (result < -1) {
    std::cerr << poptBadOption(context.get(), 0) << ": " << poptStrerror(result) << '\n';
    return static_cast<int>(ExitCode::Usage);
  }
  if (raw.help_ != 0) {
    poptPrintHelp(context.get(), stdout, 0);
    std::cout << '\n' << Cli::CommandHelp();
    return 0;
  }
  Cli::Arguments words;
  for (const char* word = poptGetArg(context.get()); word != nullptr;
       word = poptGetArg(context.get())) {
    words.emplace_back(word);
  }
  if (words.empty()) {
    std::cerr << "no command; see sardinespokectl --help\n";
    return static_cast<int>(ExitCode::Usage);
  }
  return static_cast<int>(Cli(OptionsOf(raw)).Run(words));
}
