#include "hosts_source.h"
#include "platform_server.h"
#include "sardinespoke/steady_clock.h"

#include <popt.h>

#include <csignal>
#include <cstdio>
#include <memory>

namespace sardinespoke {
namespace {

enum ExitCode
{
  Done,
  Usage,
  CannotListen,
  CannotReadHosts
};

struct Options
{
  std::string address_ = "127.0.0.1";
  int port_ = 8100;
  std::string hostsFile_;
  GeneratedHosts generated_;
  int rebootMs_ = 5000;
};

/// Reads the command line. Strings go through pointers that popt allocates.
bool
ReadOptions(int aCount, const char** aArguments, Options& aOptions)
{
  char* address = nullptr;
  char* hostsFile = nullptr;
  char* backendAddress = nullptr;
  GeneratedHosts& hosts = aOptions.generated_;
  const poptOption table[] = {
    { "address", 'a', POPT_ARG_STRING, &address, 0, "listen address in 127.0.0.0/8", "ADDRESS" },
    { "port", 'p', POPT_ARG_INT, &aOptions.port_, 0, "listen port; 0 chooses one", "PORT" },
    { "hosts-file", 0, POPT_ARG_STRING, &hostsFile, 0, "JSON array of hosts", "FILE" },
    { "hosts", 0, POPT_ARG_INT, &hosts.count_, 0, "number of generated hosts", "N" },
    { "racks", 0, POPT_ARG_INT, &hosts.racks_, 0, "racks of the generated hosts", "N" },
    { "zones", 0, POPT_ARG_INT, &hosts.zones_, 0, "zones of the generated racks", "N" },
    { "regions", 0, POPT_ARG_INT, &hosts.regions_, 0, "regions of the generated zones", "N" },
    { "backend-address", 0, POPT_ARG_STRING, &backendAddress, 0, "address of backends", "ADDRESS" },
    { "backend-base-port", 0, POPT_ARG_INT, &hosts.basePort_, 0, "port of the first host", "PORT" },
    { "reboot-ms", 0, POPT_ARG_INT, &aOptions.rebootMs_, 0, "duration of a reboot", "MS" },
    POPT_AUTOHELP POPT_TABLEEND
  };
  poptContext context = poptGetContext("sardinespoke-platform", aCount, aArguments, table, 0);
  const int result = poptGetNextOpt(context);
  const char* extra = result == -1 ? poptGetArg(context) : nullptr;
  if (result < -1) {
    std::fprintf(stderr, "%s: %s\n", poptBadOption(context, 0), poptStrerror(result));
  }
  if (extra != nullptr) {
    std::fprintf(stderr, "unexpected argument \"%s\"\n", extra);
  }
  const auto take = [](std::string& aTarget, char* aValue) {
    if (aValue != nullptr) {
      aTarget = aValue;
      std::free(aValue);
    }
  };
  const bool valid = result == -1 && extra == nullptr;
  poptFreeContext(context);
  take(aOptions.address_, address);
  take(aOptions.hostsFile_, hostsFile);
  take(hosts.address_, backendAddress);
  return valid && aOptions.port_ >= 0 && aOptions.port_ <= 65535 && aOptions.rebootMs_ >= 0 &&
         hosts.IsValid();
}

int
Run(const Options& aOptions)
{
  const SteadyClock clock;
  MemoryPlatform platform(clock, { true, std::chrono::milliseconds(aOptions.rebootMs_) });
  std::string error;
  const auto hosts = aOptions.hostsFile_.empty() ? aOptions.generated_.Make()
                                                 : ReadHostsFile(aOptions.hostsFile_, error);
  if (!error.empty()) {
    std::fprintf(stderr, "%s: %s\n", aOptions.hostsFile_.c_str(), error.c_str());
    return CannotReadHosts;
  }
  for (const ListedHost& host : hosts) {
    platform.AddHost(host);
  }

  // Blocked before the server starts its threads, so that only sigwait() receives them.
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);

  PlatformServer server(platform);
  if (!server.Init(aOptions.address_, static_cast<uint16_t>(aOptions.port_))) {
    std::fprintf(stderr, "cannot listen on %s:%d\n", aOptions.address_.c_str(), aOptions.port_);
    return CannotListen;
  }
  std::printf("listening on %s:%u\n", aOptions.address_.c_str(), server.Port());
  std::fflush(stdout);
  int received = 0;
  sigwait(&signals, &received);
  server.Shutdown();
  return Done;
}

}
}

int
main(int aCount, const char** aArguments)
{
  sardinespoke::Options options;
  if (!sardinespoke::ReadOptions(aCount, aArguments, options)) {
    return sardinespoke::Usage;
  }
  return sardinespoke::Run(options);
}
