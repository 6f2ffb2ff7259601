#include "backend_server.h"

#include <popt.h>

#include <csignal>
#include <cstdio>
#include <string>

namespace {

constexpr int kUsage = 1;
constexpr int kNotStarted = 5;

}

/// Runs the stand-in backend servers until SIGTERM or SIGINT.
int
main(int aArgCount, const char** aArgs)
{
  const char* ip = "127.0.0.1";
  int basePort = 0;
  int controlPort = 0;
  int workers = 50;
  int slots = 8;
  int connections = 64;
  const poptOption options[] = {
    { "ip", 0, POPT_ARG_STRING, &ip, 0, "address of all workers", "IP" },
    { "base-port", 0, POPT_ARG_INT, &basePort, 0, "port of worker 0; 0 = any ports", "PORT" },
    { "control-port", 0, POPT_ARG_INT, &controlPort, 0, "port of the control server", "PORT" },
    { "workers", 0, POPT_ARG_INT, &workers, 0, "number of workers", "N" },
    { "slots", 0, POPT_ARG_INT, &slots, 0, "slots of a worker", "N" },
    { "connections", 0, POPT_ARG_INT, &connections, 0, "connections of a worker", "N" },
    POPT_AUTOHELP POPT_TABLEEND
  };
  poptContext context = poptGetContext("sardinespoke-backend", aArgCount, aArgs, options, 0);
  const int parsed = poptGetNextOpt(context);
  if (parsed < -1 || poptPeekArg(context) || workers < 1 || workers > 200 || slots < 1 ||
      connections < 1) {
    std::fprintf(stderr, "invalid arguments; see --help (at most 200 workers in one process)\n");
    poptFreeContext(context);
    return kUsage;
  }
  // Blocked before the server starts its threads, so that only sigwait() receives them.
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);

  sardinespoke::BackendServerSettings settings;
  settings.ip_ = ip;
  settings.basePort_ = static_cast<uint16_t>(basePort);
  settings.controlPort_ = static_cast<uint16_t>(controlPort);
  settings.workers_ = static_cast<uint32_t>(workers);
  settings.slots_ = static_cast<uint32_t>(slots);
  settings.connections_ = static_cast<uint32_t>(connections);
  poptFreeContext(context);
  sardinespoke::BackendServer server(settings);
  if (!server.Init()) {
    std::fprintf(stderr, "cannot listen on all ports\n");
    return kNotStarted;
  }
  std::printf("{\"control\":\"%s\",\"worker\":\"%s\"}\n",
              server.ControlAddress().c_str(),
              server.WorkerAddress(0).c_str());
  std::fflush(stdout);
  int received = 0;
  sigwait(&signals, &received);
  server.Shutdown();
  return 0;
}
