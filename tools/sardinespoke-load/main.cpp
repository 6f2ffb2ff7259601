#include "commands.h"

#include <cstdio>
#include <string>

/// Load and experiment tool; see "sardinespoke-load COMMAND --help".
int
main(int aArgCount, const char** aArgs)
{
  const std::string command = aArgCount > 1 ? aArgs[1] : "";
  if (command == "run") {
    return sardinespoke::RunCommand(aArgCount - 1, aArgs + 1);
  }
  if (command == "check") {
    return sardinespoke::CheckCommand(aArgCount - 1, aArgs + 1);
  }
  if (command == "bench") {
    return sardinespoke::BenchCommand(aArgCount - 1, aArgs + 1);
  }
  const bool help = command == "--help";
  std::fprintf(help ? stdout : stderr, "usage: sardinespoke-load run|check|bench [--help]\n");
  return help ? sardinespoke::kDone : sardinespoke::kUsage;
}
