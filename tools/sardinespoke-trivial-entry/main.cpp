#include "local_claims.h"
#include "sardinespoke/curl_backend_link.h"
#include "sardinespoke/event_log.h"
#include "sardinespoke/gateway.h"
#include "sardinespoke/retry_budget.h"
#include "sardinespoke/steady_clock.h"
#include "text_list.h"
#include "trivial_dispatcher.h"

#include <popt.h>

#include <csignal>
#include <cstdio>
#include <string>

using namespace sardinespoke;

namespace {

constexpr int kUsage = 1;
constexpr int kNotStarted = 5;
constexpr std::chrono::seconds kStopLimit{ 30 };

/// Drops all events.
class NoEvents final : public EventLogI
{
public:
  void Record(const std::string&, const std::string&, nlohmann::json) override {}
  std::vector<Event> After(uint64_t) const override { return {}; }
  uint64_t HybridTime() override { return 0; }
  void Observe(uint64_t) override {}
};

bool
Start(Gateway& aGateway)
{
  return leaf::try_handle_all(
    [&]() -> leaf::result<bool> {
      BOOST_LEAF_CHECK(aGateway.Init());
      return true;
    },
    [](const GatewayError& aError) {
      std::fprintf(stderr, "%s\n", aError.message_.c_str());
      return false;
    },
    [] { return false; });
}

int
Serve(const std::string& aListen, const std::string& aWorkers, uint32_t aSlots)
{
  // Blocked before the gateway starts its threads, so that only sigwait() receives them.
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);

  GatewaySettings settings;
  settings.listenAddress_ = aListen;
  settings.attemptPrefix_ = aListen;
  const SteadyClock clock;
  TrivialDispatcher dispatcher(SplitList(aWorkers), aSlots, std::chrono::seconds(30));
  CurlBackendLink backends({});
  LocalClaims claims("trivial.1");
  RetryBudget budget;
  NoEvents events;
  Gateway gateway(settings, clock, dispatcher, backends, claims, budget, events);
  if (!Start(gateway)) {
    return kNotStarted;
  }
  std::printf("{\"port\":%u}\n", gateway.Port());
  std::fflush(stdout);
  int received = 0;
  sigwait(&signals, &received);
  gateway.RefuseNewRequests();
  gateway.WaitIdle(kStopLimit);
  gateway.Shutdown();
  const CurlLinkCounters counters = backends.Counters();
  std::printf("{\"transfers\":%llu,\"connections\":%llu,\"retries\":%llu}\n",
              static_cast<unsigned long long>(counters.transfers_),
              static_cast<unsigned long long>(counters.connectionsOpened_),
              static_cast<unsigned long long>(gateway.Counters().retries_));
  return 0;
}

}

/// A gateway without the rest of an entry host, to measure what the gateway itself costs.
int
main(int aArgCount, const char** aArgs)
{
  const char* listen = "127.0.0.1:0";
  const char* workers = "";
  int slots = 8;
  const poptOption options[] = {
    { "listen", 0, POPT_ARG_STRING, &listen, 0, "caller address", "IP:PORT" },
    { "workers", 0, POPT_ARG_STRING, &workers, 0, "addresses of the workers", "IP:PORT,..." },
    { "slots", 0, POPT_ARG_INT, &slots, 0, "slots of a worker", "N" },
    POPT_AUTOHELP POPT_TABLEEND
  };
  poptContext context = poptGetContext("sardinespoke-trivial-entry", aArgCount, aArgs, options, 0);
  const int parsed = poptGetNextOpt(context);
  const bool valid = parsed >= -1 && !poptPeekArg(context) && *workers && slots > 0;
  poptFreeContext(context);
  if (!valid) {
    std::fprintf(stderr, "invalid arguments; see --help (--workers is required)\n");
    return kUsage;
  }
  return Serve(listen, workers, static_cast<uint32_t>(slots));
}
