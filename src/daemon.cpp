#include "sardinespoke/daemon.h"

#include "planner_inputs_p.h"

#include "sardinespoke/admin_api.h"
#include "sardinespoke/config_sync.h"
#include "sardinespoke/curl_backend_link.h"
#include "sardinespoke/demand_exchange.h"
#include "sardinespoke/event_log_ring.h"
#include "sardinespoke/fleet_editor.h"
#include "sardinespoke/gateway.h"
#include "sardinespoke/logging.h"
#include "sardinespoke/metrics.h"
#include "sardinespoke/nng_peer_link.h"
#include "sardinespoke/peer_request_claims.h"
#include "sardinespoke/planner_controller.h"
#include "sardinespoke/platform_client.h"
#include "sardinespoke/profile_editor.h"
#include "sardinespoke/retry_budget.h"
#include "sardinespoke/scheduler.h"
#include "sardinespoke/steady_clock.h"

#include <condition_variable>
#include <ctime>
#include <iomanip>
#include <mutex>
#include <random>
#include <sstream>
#include <thread>

namespace sardinespoke {

namespace {

constexpr std::chrono::milliseconds kReportInterval{ 50 };

/// @returns An id unique per start, without '-' and '.', which separate the parts of other ids.
std::string
NewProcessId()
{
  std::random_device source;
  std::ostringstream id;
  constexpr int kHexDigits = 8;
  id << std::hex << std::setfill('0') << std::setw(kHexDigits) << source() << std::setw(kHexDigits)
     << source();
  return id.str();
}

std::string
UtcTimestamp()
{
  const auto now = std::chrono::system_clock::to_time_t(std::chrono::system_clock::now());
  std::tm utc{};
  gmtime_r(&now, &utc);
  std::ostringstream text;
  text << std::put_time(&utc, "%Y-%m-%dT%H:%M:%SZ");
  return text.str();
}

std::set<std::string>
ToSet(const std::vector<std::string>& aNames)
{
  return { aNames.begin(), aNames.end() };
}

PlatformClientOptions
PlatformOptions(const Settings& aSettings)
{
  PlatformClientOptions options;
  options.baseUrl_ = "http://" + aSettings.platform_.Text();
  options.clientName_ = aSettings.id_;
  return options;
}

ConfigSyncSettings
SyncSettings(const Settings& aSettings, const std::string& aProcess)
{
  ConfigSyncSettings settings;
  settings.id_ = aSettings.id_;
  settings.process_ = aProcess;
  settings.caller_ = aSettings.caller_.Text();
  settings.admin_ = aSettings.admin_.Text();
  settings.peer_ = aSettings.peer_.Text();
  settings.zone_ = aSettings.zone_;
  settings.keyPrefix_ = aSettings.keyPrefix_;
  settings.seedPeers_ = aSettings.seedPeers_;
  return settings;
}

PlannerSettings
MakePlannerSettings(const Settings& aSettings, const std::string& aProcess)
{
  PlannerSettings settings;
  settings.keyPrefix_ = aSettings.keyPrefix_;
  settings.entryHost_ = aSettings.id_;
  settings.incarnation_ = aProcess;
  return settings;
}

CurlLinkSettings
LinkSettings(const Settings& aSettings)
{
  CurlLinkSettings settings;
  settings.maxResponseBytes_ = aSettings.maxAnswerBytes_;
  return settings;
}

}

class Daemon::Impl final : public DaemonStatusI
{
public:
  explicit Impl(Settings aSettings)
    : settings_(std::move(aSettings))
    , process_(NewProcessId())
    , platform_(PlatformOptions(settings_))
    , events_(settings_.id_ + "/" + process_)
    , peers_(PeerLinkSettings{ settings_.peer_.Text() })
    , config_(SyncSettings(settings_, process_), platform_, platform_, peers_, clock_, events_)
    , exchange_(ExchangeSettings(), peers_, clock_, ExchangeCallbacks())
    , claims_(settings_.id_, process_, peers_, clock_, Directory())
    , scheduler_({ settings_.id_, settings_.zone_, std::hash<std::string>{}(process_) },
                 config_,
                 exchange_,
                 clock_)
    , backends_(LinkSettings(settings_))
    , retries_(settings_.retryPercent_)
    , gateway_(CallerSettings(), clock_, scheduler_, backends_, claims_, retries_, events_)
    , inputs_(platform_, settings_.keyPrefix_, config_, exchange_)
    , planner_(MakePlannerSettings(settings_, process_),
               platform_,
               platform_,
               platform_,
               inputs_,
               clock_,
               &events_)
    , profileEditor_(platform_, settings_.keyPrefix_, EditorSources())
    , fleetEditor_(platform_, settings_.keyPrefix_, settings_.id_, settings_.id_ + "." + process_)
    , admin_({ config_,
               profileEditor_,
               fleetEditor_,
               events_,
               metrics_,
               *this,
               settings_.id_,
               settings_.zone_,
               settings_.admin_.Text() })
  {
  }

  leaf::result<void> Init()
  {
    admin_.RegisterRoutes(adminServer_);
    BOOST_LEAF_CHECK(peers_.Init());
    BOOST_LEAF_CHECK(adminServer_.Init(settings_.admin_));
    scheduler_.Init();
    exchange_.Init();
    config_.Init();
    planner_.Init();
    BOOST_LEAF_CHECK(gateway_.Init());
    reporter_ = std::thread([this]() { Report(); });
    Log(LogLevel::Info, "daemon.started", { { "caller", settings_.caller_.Text() } });
    events_.Record("daemon.started", "", {});
    return {};
  }

  bool Shutdown()
  {
    Log(LogLevel::Info, "daemon.stopping", {});
    events_.Record("daemon.stopping", "signal", {});
    stopping_ = true;
    config_.SetStopping(true);
    gateway_.FailHealth();
    std::this_thread::sleep_for(settings_.stopGrace_);
    gateway_.RefuseNewRequests();
    const bool idle = gateway_.WaitIdle(settings_.stopLimit_ - settings_.stopGrace_);
    scheduler_.StopAdmission();
    planner_.Shutdown();
    StopReporter();
    // Leaves the member list only now, because this daemon may have had work in flight until here.
    config_.Shutdown();
    gateway_.Shutdown();
    scheduler_.Shutdown();
    exchange_.Shutdown();
    adminServer_.Shutdown();
    peers_.Shutdown();
    Log(LogLevel::Info, "daemon.stopped", { { "requests_cut", !idle } });
    return idle;
  }

  bool Stopping() const override { return stopping_; }
  bool HoldsPlanner() const override { return planner_.IsHolder(); }

  void UpdateMetrics() override
  {
    const auto gateway = gateway_.Counters();
    metrics_.Set("requests{outcome=\"ok\"}", static_cast<double>(gateway.ok_));
    metrics_.Set("requests{outcome=\"not-run\"}", static_cast<double>(gateway.notRun_));
    metrics_.Set("requests{outcome=\"unknown\"}", static_cast<double>(gateway.unknown_));
    metrics_.Set("requests{outcome=\"already-run\"}", static_cast<double>(gateway.alreadyRun_));
    metrics_.Set("retries", static_cast<double>(gateway.retries_));
    metrics_.Set("requests_in_flight", static_cast<double>(gateway.inFlight_));
    metrics_.Set("caller_connections", static_cast<double>(gateway.connections_));
    const auto scheduler = scheduler_.Counters();
    metrics_.Set("queued", static_cast<double>(scheduler.queued_));
    metrics_.Set("running", static_cast<double>(scheduler.running_));
    metrics_.Set("refused", static_cast<double>(scheduler.refused_));
    metrics_.Set("breakers_opened", static_cast<double>(scheduler.breakersOpened_));
    const auto links = backends_.Counters();
    metrics_.Set("backend_transfers", static_cast<double>(links.transfers_));
    metrics_.Set("backend_connections_opened", static_cast<double>(links.connectionsOpened_));
    metrics_.Set("backend_repeats_stopped", static_cast<double>(links.resendsBlocked_));
    metrics_.Set("peer_bytes_sent", static_cast<double>(peers_.Counters().bytesSent_.load()));
    metrics_.Set("may_dispatch", config_.MayDispatch() ? 1 : 0);
    metrics_.Set("store_reachable", config_.StoreReachable() ? 1 : 0);
  }

private:
  DemandExchangeSettings ExchangeSettings() const
  {
    DemandExchangeSettings settings;
    settings.id_ = settings_.id_;
    settings.process_ = process_;
    settings.bytesPerSecond_ = static_cast<uint32_t>(settings_.controlBytesPerSecond_);
    return settings;
  }

  std::vector<DemandPeer> LivePeers() const
  {
    std::vector<DemandPeer> peers;
    for (const auto& [id, record] : config_.Roster()) {
      if (id == settings_.id_) {
        continue;
      }
      peers.push_back({ id, record.peer_ });
    }
    return peers;
  }

  DemandExchangeCallbacks ExchangeCallbacks()
  {
    DemandExchangeCallbacks callbacks;
    callbacks.peers_ = [this]() { return LivePeers(); };
    callbacks.known_ = [this](const std::string& aId) { return config_.KnowsPeer(aId); };
    callbacks.bytesSent_ = [this]() { return peers_.Counters().bytesSent_.load(); };
    return callbacks;
  }

  PeerDirectory Directory()
  {
    PeerDirectory directory;
    directory.address_ = [this](const std::string& aId) { return config_.PeerAddress(aId); };
    directory.known_ = [this](const std::string& aId) { return config_.KnowsPeer(aId); };
    return directory;
  }

  GatewaySettings CallerSettings()
  {
    GatewaySettings settings;
    settings.listenAddress_ = settings_.caller_.Text();
    settings.attemptPrefix_ = settings_.id_ + "." + process_;
    settings.maxBodyBytes_ = settings_.maxBodyBytes_;
    settings.maxConnections_ = settings_.maxCallerConnections_;
    settings.healthy_ = [this]() { return config_.MayDispatch(); };
    return settings;
  }

  ProfileEditorSources EditorSources()
  {
    ProfileEditorSources sources;
    sources.wallClock_ = &UtcTimestamp;
    sources.capacity_ = [this]() { return Capacity(); };
    sources.revisionInForce_ = [this]() {
      const auto view = config_.Current();
      return view && view->profiles_ ? view->profiles_->revision_ : 0;
    };
    return sources;
  }

  FleetCapacity Capacity() const
  {
    FleetCapacity capacity;
    const auto view = config_.Current();
    if (!view || !view->fleet_ || !view->profiles_) {
      return capacity;
    }
    for (const auto& [id, host] : view->fleet_->hosts_) {
      ++capacity.poolHosts_[host.pool_];
      const auto pool = view->profiles_->pools_.find(host.pool_);
      capacity.slots_ += pool != view->profiles_->pools_.end() ? pool->second.slotsPerHost_
                                                               : PoolRules().slotsPerHost_;
    }
    return capacity;
  }

  /// Thread function: publishes the state of scheduler and planner to the members periodically.
  void Report()
  {
    std::unique_lock lock(reporterMutex_);
    while (!reporterStop_) {
      lock.unlock();
      // Reads the revision before the busy hosts. A host that starts to drain in between is then
      // reported with the older revision, which a planner does not accept as an acknowledgement.
      const auto view = config_.Current();
      const uint64_t revision = view && view->fleet_ ? view->fleet_->revision_ : 0;
      config_.Acknowledge(revision, ToSet(scheduler_.BusyDrainingHosts()));
      config_.SetSuspects(ToSet(scheduler_.Suspects()));
      config_.SetHoldsPlannerLease(planner_.IsHolder());
      lock.lock();
      reporterWake_.wait_for(lock, kReportInterval);
    }
  }

  void StopReporter()
  {
    {
      const std::lock_guard lock(reporterMutex_);
      reporterStop_ = true;
    }
    reporterWake_.notify_all();
    if (reporter_.joinable()) {
      reporter_.join();
    }
  }

  const Settings settings_;
  const std::string process_;
  SteadyClock clock_;
  Metrics metrics_;
  PlatformClient platform_;
  EventLogRing events_;
  NngPeerLink peers_;
  ConfigSync config_;
  DemandExchange exchange_;
  PeerRequestClaims claims_;
  Scheduler scheduler_;
  CurlBackendLink backends_;
  RetryBudget retries_;
  Gateway gateway_;
  PlannerInputs inputs_;
  PlannerController planner_;
  ProfileEditor profileEditor_;
  FleetEditor fleetEditor_;
  AdminApi admin_;
  AdminServer adminServer_;

  std::atomic<bool> stopping_{ false };
  std::thread reporter_;
  std::mutex reporterMutex_;
  std::condition_variable reporterWake_;
  bool reporterStop_ = false;
};

Daemon::Daemon(Settings aSettings)
  : impl_(std::make_unique<Impl>(std::move(aSettings)))
{
}

Daemon::~Daemon() = default;

leaf::result<void>
Daemon::Init()
{
  return impl_->Init();
}

bool
Daemon::Shutdown()
{
  return impl_->Shutdown();
}

}
