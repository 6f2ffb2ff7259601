#include "deployment.h"

#include "sardinespoke/fleet_transitions.h"

#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <fstream>

namespace sardinespoke {

namespace {

using namespace std::chrono_literals;

constexpr uint16_t kCallerPort = 8100;
constexpr uint16_t kAdminPort = 8200;
constexpr uint16_t kPeerPort = 8300;
constexpr uint16_t kPlatformPort = 8000;
constexpr uint16_t kControlPort = 8900;
constexpr uint16_t kWorkerPort = 9000;
constexpr long kOk = 200;
constexpr const char* kFleetKey = "/kv/v1/keys/sardinespoke/config/fleet";

std::string
ProgramPath(const std::string& aName)
{
  return std::string(BINARY_DIR) + "/" + aName;
}

nlohmann::json
EndpointJson(const std::string& aIp, uint16_t aPort)
{
  return { { "address", aIp }, { "port", aPort } };
}

}

bool
WaitUntil(std::chrono::milliseconds aLimit, const std::function<bool()>& aCondition)
{
  const auto deadline = std::chrono::steady_clock::now() + aLimit;
  while (!aCondition()) {
    if (std::chrono::steady_clock::now() >= deadline) {
      return false;
    }
    std::this_thread::sleep_for(20ms);
  }
  return true;
}

Deployment::Deployment(DeploymentOptions aOptions)
  : options_(aOptions)
  , http_("process-tests", 200ms)
  , entries_(aOptions.entries_)
{
  // Concurrent processes rarely share the last 14 bits of their ids; if they do, the second
  // program cannot bind its ports and its test fails at the start.
  const auto pid = static_cast<uint32_t>(getpid());
  net_ = "127." + std::to_string(64 + (pid >> 8U) % 64) + "." + std::to_string(pid % 256);
  platformIp_ = net_ + ".100";
  backendIp_ = net_ + ".101";
  directory_ = std::filesystem::temp_directory_path() / ("sardinespoke-" + std::to_string(pid));
  std::filesystem::create_directories(directory_);
  std::ifstream file(std::string(SOURCE_DIR) + "/examples/inyana.profiles.json");
  profiles_ = nlohmann::json::parse(file);
  signal(SIGPIPE, SIG_IGN);
}

Deployment::~Deployment()
{
  entries_.clear();
  platform_ = ChildProcess();
  backend_ = ChildProcess();
  if (std::getenv("KEEP_LOGS") == nullptr) {
    std::error_code ignored;
    std::filesystem::remove_all(directory_, ignored);
  }
}

std::string
Deployment::EntryIp(uint32_t aEntry) const
{
  return net_ + "." + std::to_string(aEntry + 1);
}

std::string
Deployment::WorkerAddress(uint32_t aWorker) const
{
  return backendIp_ + ":" + std::to_string(kWorkerPort + aWorker);
}

void
Deployment::WriteSettings(uint32_t aEntry) const
{
  nlohmann::json seeds = nlohmann::json::array();
  for (uint32_t other = 0; other < options_.entries_; ++other) {
    if (other != aEntry) {
      seeds.push_back(EntryIp(other) + ":" + std::to_string(kPeerPort));
    }
  }
  const std::string ip = EntryIp(aEntry);
  const nlohmann::json settings = {
    { "id", EntryId(aEntry) },
    { "zone", "zone-000" + std::to_string(aEntry % 3) },
    { "region", "region-0000" },
    { "caller", EndpointJson(ip, kCallerPort) },
    { "admin", EndpointJson(ip, kAdminPort) },
    { "peer", EndpointJson(ip, kPeerPort) },
    { "platform", EndpointJson(platformIp_, kPlatformPort) },
    { "seed_peers", seeds },
    { "limits", { { "stop_grace_ms", options_.stopGrace_.count() }, { "stop_limit_ms", 20000 } } },
  };
  std::ofstream(LogFile(EntryId(aEntry) + ".json")) << settings.dump(2);
}

void
Deployment::StartEntry(uint32_t aEntry)
{
  WriteSettings(aEntry);
  const std::string id = EntryId(aEntry);
  entries_.at(aEntry) = ChildProcess::Start(
    ProgramPath("sardinespoked"), { "--settings", LogFile(id + ".json") }, LogFile(id + ".log"));
}

bool
Deployment::Start()
{
  backend_ = ChildProcess::Start(ProgramPath("sardinespoke-backend"),
                                 { "--ip",
                                   backendIp_,
                                   "--base-port",
                                   std::to_string(kWorkerPort),
                                   "--control-port",
                                   std::to_string(kControlPort),
                                   "--workers",
                                   std::to_string(kWorkers) },
                                 LogFile("backend.log"));
  platform_ = ChildProcess::Start(ProgramPath("sardinespoke-platform"),
                                  { "--address",
                                    platformIp_,
                                    "--port",
                                    std::to_string(kPlatformPort),
                                    "--hosts",
                                    std::to_string(kWorkers),
                                    "--racks",
                                    "13",
                                    "--zones",
                                    "3",
                                    "--backend-address",
                                    backendIp_,
                                    "--backend-base-port",
                                    std::to_string(kWorkerPort),
                                    "--reboot-ms",
                                    std::to_string(options_.reboot_.count()) },
                                  LogFile("platform.log"));
  const bool standins = WaitUntil(10s, [&] {
    return Platform("GET", "/calls/v1").status_ == kOk &&
           Call("GET", "http://" + ControlAddress() + "/healthz", "", 1s).status_ == kOk;
  });
  if (!standins) {
    return false;
  }
  for (uint32_t entry = 0; entry < options_.entries_; ++entry) {
    StartEntry(entry);
  }
  const std::string apply = "/v1/profiles?change_id=setup&author=setup&base_revision=0";
  const bool applied =
    WaitUntil(20s, [&] { return Admin(0, "PUT", apply, profiles_.dump()).status_ == kOk; });
  return applied && WaitUntil(30s, [&] { return AllEntriesServe(); });
}

bool
Deployment::AllEntriesServe()
{
  for (uint32_t entry = 0; entry < options_.entries_; ++entry) {
    const auto status = Admin(entry, "GET", "/v1/status", "", 500ms);
    if (status.status_ != kOk || !status.body_.at("may_dispatch").get<bool>() ||
        status.body_.at("members").size() != options_.entries_ ||
        status.body_.at("entry_hosts").size() != options_.entries_ ||
        status.body_.at("profiles_revision").get<uint64_t>() == 0) {
      return false;
    }
    const auto fleet = Admin(entry, "GET", "/v1/fleet", "", 500ms);
    std::set<std::string> pools;
    for (const auto& host : fleet.body_.value("hosts", nlohmann::json::array())) {
      pools.insert(host.at("pool").get<std::string>());
    }
    if (pools.size() < profiles_.at("pools").size()) {
      return false;
    }
  }
  return true;
}

uint32_t
Deployment::PlannerLeader()
{
  for (uint32_t entry = 0; entry < options_.entries_; ++entry) {
    const auto status = Admin(entry, "GET", "/v1/status", "", 300ms);
    if (status.status_ == kOk && status.body_.at("planner").get<bool>()) {
      return entry;
    }
  }
  return options_.entries_;
}

CallResult
Deployment::Call(const std::string& aMethod,
                 const std::string& aUrl,
                 const std::string& aBody,
                 std::chrono::milliseconds aTimeout)
{
  return leaf::try_handle_all(
    [&]() -> leaf::result<CallResult> {
      BOOST_LEAF_AUTO(response, http_.Call({ aMethod.c_str(), aUrl, aBody, aTimeout }));
      return CallResult{ response.status_,
                         nlohmann::json::parse(response.body_, nullptr, false),
                         response.body_ };
    },
    [] { return CallResult{}; });
}

CallResult
Deployment::Admin(uint32_t aEntry,
                  const std::string& aMethod,
                  const std::string& aPath,
                  const std::string& aBody,
                  std::chrono::milliseconds aTimeout)
{
  const std::string address = EntryIp(aEntry) + ":" + std::to_string(kAdminPort);
  return Call(aMethod, "http://" + address + aPath, aBody, aTimeout);
}

CallResult
Deployment::Platform(const std::string& aMethod, const std::string& aPath, const std::string& aBody)
{
  const std::string address = platformIp_ + ":" + std::to_string(kPlatformPort);
  return Call(aMethod, "http://" + address + aPath, aBody, 2s);
}

bool
Deployment::SetPlatformFaults(const nlohmann::json& aFaults)
{
  return Platform("POST", "/faults/v1", aFaults.dump()).status_ == kOk;
}

bool
Deployment::SetWorkerFault(uint32_t aWorker, const std::string& aFault)
{
  const std::string path = "/faults?worker=" + std::to_string(aWorker) + "&fault=" + aFault;
  return Call("POST", "http://" + ControlAddress() + path, "", 5s).status_ == kOk;
}

CallResult
Deployment::PutProfile(uint32_t aEntry,
                       const std::string& aName,
                       const nlohmann::json& aProfile,
                       const std::string& aChangeId,
                       uint64_t aBase)
{
  const std::string path = "/v1/profiles/" + aName + "?change_id=" + aChangeId +
                           "&author=test&base_revision=" + std::to_string(aBase);
  return Admin(aEntry, "PUT", path, aProfile.dump());
}

std::optional<FleetMap>
Deployment::StoredFleet()
{
  const auto stored = Platform("GET", kFleetKey);
  if (stored.status_ != kOk) {
    return std::nullopt;
  }
  return leaf::try_handle_all(
    [&]() -> leaf::result<std::optional<FleetMap>> {
      BOOST_LEAF_AUTO(fleet, FleetMap::Parse(stored.body_.at("value").get<std::string>()));
      return std::optional(std::move(fleet));
    },
    [] { return std::optional<FleetMap>(); });
}

uint64_t
Deployment::BeginMove(const std::string& aHost, const std::string& aPool)
{
  const auto stored = Platform("GET", kFleetKey);
  if (stored.status_ != kOk) {
    return 0;
  }
  return leaf::try_handle_all(
    [&]() -> leaf::result<uint64_t> {
      BOOST_LEAF_AUTO(fleet, FleetMap::Parse(stored.body_.at("value").get<std::string>()));
      fleet.BeginWrite("test", "test-" + std::to_string(fleet.revision_ + 1));
      BOOST_LEAF_CHECK(StartMove(fleet, aHost, aPool));
      const std::string version = std::to_string(stored.body_.at("version").get<uint64_t>());
      const auto written =
        Platform("PUT", std::string(kFleetKey) + "?if_version=" + version, fleet.Serialize());
      return written.status_ == kOk ? fleet.revision_ : uint64_t{ 0 };
    },
    [] { return uint64_t{ 0 }; });
}

LoadSettings
Deployment::Load(std::chrono::seconds aDuration, uint64_t aSeed) const
{
  LoadSettings settings;
  for (uint32_t entry = 0; entry < options_.entries_; ++entry) {
    settings.client_.targets_.push_back(CallerAddress(entry));
  }
  for (const auto& [name, service] : profiles_.at("services").items()) {
    settings.services_.push_back(name);
  }
  settings.client_.timeout_ = 3s; // Bounds how long a paused entry host blocks a caller.
  settings.client_.deadline_ = 2s;
  settings.shape_ = FindLoadShape("flat");
  settings.rate_ = 100;
  settings.callers_ = 16;
  settings.nonIdempotentShare_ = 0.5;
  settings.meanRunTime_ = 10ms;
  settings.duration_ = aDuration;
  settings.seed_ = aSeed;
  return settings;
}

uint32_t
Deployment::WorkerIndex(const std::string& aHost)
{
  return static_cast<uint32_t>(std::stoul(aHost.substr(aHost.rfind('-') + 1)));
}

std::string
Deployment::HostId(uint32_t aWorker)
{
  char text[32];
  std::snprintf(text, sizeof(text), "host-%04u", aWorker);
  return text;
}

BackgroundLoad::BackgroundLoad(LoadSettings aSettings)
  : writer_(&text_)
  , run_(std::move(aSettings), writer_)
  , thread_([this] {
    summary_ = run_.Run();
    done_ = true;
  })
{
}

BackgroundLoad::~BackgroundLoad()
{
  Wait();
}

const nlohmann::json&
BackgroundLoad::Wait()
{
  if (thread_.joinable()) {
    thread_.join();
  }
  return summary_;
}

std::vector<HistoryLine>
BackgroundLoad::History()
{
  Wait();
  std::istringstream in(text_.str());
  return ReadHistory(in);
}

}
