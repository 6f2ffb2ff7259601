#include "cli.h"

#include <algorithm>
#include <iomanip>
#include <iostream>
#include <map>

namespace sardinespoke {

namespace {

constexpr long kOk = 200;
constexpr int kNameWidth = 16;

/// One event with the key that orders events over all processes.
struct OrderedEvent
{
  uint64_t hybridTime_ = 0;
  std::string process_;
  uint64_t sequence_ = 0;
  nlohmann::json event_;

  bool operator<(const OrderedEvent& aOther) const
  {
    return std::tie(hybridTime_, process_, sequence_) <
           std::tie(aOther.hybridTime_, aOther.process_, aOther.sequence_);
  }
};

/// Events that mention the host in any detail, or come from that entry host.
bool
Mentions(const nlohmann::json& aEvent, const std::string& aHost)
{
  if (aEvent.value("process", std::string()).rfind(aHost, 0) == 0) {
    return true;
  }
  return aEvent.value("detail", nlohmann::json::object()).dump().find('"' + aHost + '"') !=
         std::string::npos;
}

void
PrintEvent(const nlohmann::json& aEvent)
{
  constexpr uint64_t kMicrosPerSecond = 1000000;
  constexpr uint64_t kSecondsPerDay = 86400;
  constexpr int kTypeWidth = 28;
  constexpr int kFractionDigits = 6;
  const auto time = aEvent.value("hybrid_time", uint64_t{ 0 });
  const auto second = time / kMicrosPerSecond % kSecondsPerDay;
  std::cout << std::setfill('0') << std::setw(2) << second / 3600 << ':' << std::setw(2)
            << second / 60 % 60 << ':' << std::setw(2) << second % 60 << '.'
            << std::setw(kFractionDigits) << time % kMicrosPerSecond << std::setfill(' ') << "  "
            << std::left << std::setw(kNameWidth) << aEvent.value("process", std::string())
            << std::setw(kTypeWidth) << aEvent.value("type", std::string()) << std::right
            << aEvent.value("cause", std::string()) << "  "
            << aEvent.value("detail", nlohmann::json::object()).dump() << '\n';
}

}

ExitCode
Cli::Status(const Arguments& /*aArguments*/)
{
  AdminAnswer answer;
  ExitCode code = ExitCode::Done;
  if (!Read("/v1/status", answer, code)) {
    return code;
  }
  if (options_.json_) {
    std::cout << answer.body_.dump() << '\n';
    return ExitCode::Done;
  }
  std::cout << "store " << (answer.body_.value("store_reachable", false) ? "reachable" : "down")
            << ", profiles revision " << answer.body_.value("profiles_revision", uint64_t{ 0 })
            << ", fleet revision " << answer.body_.value("fleet_revision", uint64_t{ 0 }) << '\n';
  std::cout << std::left << std::setw(kNameWidth) << "ENTRY HOST" << std::setw(kNameWidth) << "ZONE"
            << std::setw(kNameWidth) << "PROFILES" << std::setw(kNameWidth) << "FLEET"
            << "STATE\n";
  for (const auto& host : answer.body_.value("entry_hosts", nlohmann::json::array())) {
    std::cout << std::setw(kNameWidth) << host.value("id", std::string()) << std::setw(kNameWidth)
              << host.value("zone", std::string()) << std::setw(kNameWidth)
              << host.value("profiles_revision", uint64_t{ 0 }) << std::setw(kNameWidth)
              << host.value("fleet_revision", uint64_t{ 0 })
              << (host.value("stopping", false) ? "stopping" : "serving") << '\n';
  }
  return ExitCode::Done;
}

ExitCode
Cli::Pool(const Arguments& aArguments)
{
  AdminAnswer answer;
  ExitCode code = ExitCode::Done;
  if (!Read("/v1/fleet", answer, code)) {
    return code;
  }
  std::map<std::string, std::map<std::string, int>> pools;
  for (const auto& host : answer.body_.value("hosts", nlohmann::json::array())) {
    const auto pool = host.value("pool", std::string());
    if (!aArguments.empty() && pool != aArguments[0]) {
      continue;
    }
    ++pools[pool][host.value("state", std::string())];
  }
  if (!aArguments.empty() && pools.empty()) {
    std::cerr << "pool \"" << aArguments[0] << "\" has no host\n";
    return ExitCode::Refused;
  }
  if (options_.json_) {
    std::cout << nlohmann::json(pools).dump() << '\n';
    return ExitCode::Done;
  }
  for (const auto& [name, states] : pools) {
    std::cout << std::left << std::setw(kNameWidth) << name;
    for (const auto& [state, count] : states) {
      std::cout << ' ' << count << ' ' << state;
    }
    std::cout << '\n';
  }
  return ExitCode::Done;
}

ExitCode
Cli::Host(const Arguments& aArguments)
{
  AdminAnswer answer;
  ExitCode code = ExitCode::Done;
  if (!Read("/v1/fleet", answer, code)) {
    return code;
  }
  bool found = false;
  for (const auto& host : answer.body_.value("hosts", nlohmann::json::array())) {
    const auto id = host.value("id", std::string());
    if (!aArguments.empty() && id != aArguments[0]) {
      continue;
    }
    found = true;
    if (options_.json_ || !aArguments.empty()) {
      std::cout << host.dump(options_.json_ ? -1 : 2) << '\n';
      continue;
    }
    std::cout << std::left << std::setw(kNameWidth) << id << std::setw(kNameWidth)
              << host.value("pool", std::string()) << std::setw(kNameWidth)
              << host.value("state", std::string()) << host.value("rack", std::string()) << '\n';
  }
  if (!found && !aArguments.empty()) {
    std::cerr << "host \"" << aArguments[0] << "\" is not in the fleet document\n";
    return ExitCode::Refused;
  }
  return ExitCode::Done;
}

ExitCode
Cli::MaintenanceAction(const char* aAction)
{
  const nlohmann::json body = { { "action", aAction }, { "author", options_.author_ } };
  const auto answer = client_.Call("POST", "/v1/maintenance", body.dump());
  if (answer.status_ != kOk) {
    return Fail(answer);
  }
  std::cout << (options_.json_ ? answer.text_ : "roll-out: " + std::string(aAction) + " accepted")
            << '\n';
  return ExitCode::Done;
}

ExitCode
Cli::MaintenanceStart(const Arguments& /*aArguments*/)
{
  return MaintenanceAction("start");
}

ExitCode
Cli::MaintenancePause(const Arguments& /*aArguments*/)
{
  return MaintenanceAction("pause");
}

ExitCode
Cli::MaintenanceResume(const Arguments& /*aArguments*/)
{
  return MaintenanceAction("resume");
}

ExitCode
Cli::MaintenanceStatus(const Arguments& /*aArguments*/)
{
  AdminAnswer answer;
  ExitCode code = ExitCode::Done;
  if (!Read("/v1/maintenance", answer, code)) {
    return code;
  }
  if (options_.json_) {
    std::cout << answer.body_.dump() << '\n';
    return ExitCode::Done;
  }
  const auto& body = answer.body_;
  const char* state = "none";
  if (body.value("active", false)) {
    state = body.value("paused", false) ? "paused" : "active";
  }
  std::cout << "roll-out " << body.value("number", uint64_t{ 0 }) << ": " << state << ", "
            << body.value("maintained", 0) << " of " << body.value("hosts", 0)
            << " hosts maintained, " << body.value("draining", 0) << " draining, "
            << body.value("maintenance", 0) << " rebooting, " << body.value("failed", 0)
            << " failed\n";
  return ExitCode::Done;
}

ExitCode
Cli::EntryForget(const Arguments& aArguments)
{
  const auto answer = client_.Call("POST", "/v1/entry/" + UrlEncode(aArguments[0]) + "/forget");
  if (answer.status_ != kOk) {
    return Fail(answer);
  }
  std::cout << "entry host " << aArguments[0] << " removed from the member list\n";
  return ExitCode::Done;
}

ExitCode
Cli::HostReturn(const Arguments& aArguments)
{
  const auto answer = client_.Call("POST", "/v1/hosts/" + UrlEncode(aArguments[0]) + "/return");
  if (answer.status_ != kOk) {
    return Fail(answer);
  }
  std::cout << "host " << aArguments[0] << " returned to service\n";
  return ExitCode::Done;
}

ExitCode
Cli::Timeline(const Arguments& /*aArguments*/)
{
  AdminAnswer status;
  ExitCode code = ExitCode::Done;
  if (!Read("/v1/status", status, code)) {
    return code;
  }
  std::vector<OrderedEvent> events;
  for (const auto& host : status.body_.value("entry_hosts", nlohmann::json::array())) {
    const auto answer =
      client_.CallOne(host.value("admin", std::string()), "GET", "/v1/events?after=0");
    if (answer.status_ != kOk || !answer.body_.is_object()) {
      std::cerr << "no events from " << host.value("id", std::string()) << '\n';
      continue;
    }
    for (const auto& event : answer.body_.value("events", nlohmann::json::array())) {
      if (event.value("type", std::string()).rfind(options_.type_, 0) != 0) {
        continue;
      }
      if (!options_.host_.empty() && !Mentions(event, options_.host_)) {
        continue;
      }
      events.push_back({ event.value("hybrid_time", uint64_t{ 0 }),
                         event.value("process", std::string()),
                         event.value("sequence", uint64_t{ 0 }),
                         event });
    }
  }
  std::sort(events.begin(), events.end());
  for (const auto& event : events) {
    if (options_.json_) {
      std::cout << event.event_.dump() << '\n';
      continue;
    }
    PrintEvent(event.event_);
  }
  return ExitCode::Done;
}

}
