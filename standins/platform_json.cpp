#include "platform_json.h"

#include <array>
#include <map>
#include <stdexcept>

namespace sardinespoke {

namespace {

using Json = nlohmann::json;
using Setter = void (*)(PlatformFaults&, const Json&);

template<bool PlatformFaults::*kMember>
void
SetBool(PlatformFaults& aFaults, const Json& aValue)
{
  aFaults.*kMember = aValue.get<bool>();
}

template<uint32_t PlatformFaults::*kMember>
void
SetCount(PlatformFaults& aFaults, const Json& aValue)
{
  aFaults.*kMember = aValue.get<uint32_t>();
}

template<std::chrono::milliseconds PlatformFaults::*kMember>
void
SetDuration(PlatformFaults& aFaults, const Json& aValue)
{
  aFaults.*kMember = std::chrono::milliseconds(aValue.get<int64_t>());
}

template<std::set<std::string> PlatformFaults::*kMember>
void
SetNames(PlatformFaults& aFaults, const Json& aValue)
{
  aFaults.*kMember = aValue.get<std::set<std::string>>();
}

const std::map<std::string, Setter>&
Setters()
{
  static const std::map<std::string, Setter> kSetters{
    { "store_down", &SetBool<&PlatformFaults::storeDown_> },
    { "host_list_down", &SetBool<&PlatformFaults::hostListDown_> },
    { "host_control_down", &SetBool<&PlatformFaults::hostControlDown_> },
    { "slow_ms", &SetDuration<&PlatformFaults::callDelay_> },
    { "lose_write_answers", &SetCount<&PlatformFaults::loseWriteResponses_> },
    { "lose_reboot_answers", &SetCount<&PlatformFaults::loseRebootResponses_> },
    { "host_list_lag_ms", &SetDuration<&PlatformFaults::hostListLag_> },
    { "stuck_hosts", &SetNames<&PlatformFaults::stuckHosts_> },
    { "cut_off_clients", &SetNames<&PlatformFaults::cutOffClients_> },
  };
  return kSetters;
}

}

Json
ToJson(const KeyValueItem& aItem)
{
  return { { "key", aItem.key_ }, { "value", aItem.value_ }, { "version", aItem.version_ } };
}

Json
ToJson(const std::vector<KeyValueItem>& aItems)
{
  Json items = Json::array();
  for (const KeyValueItem& item : aItems) {
    items.push_back(ToJson(item));
  }
  return items;
}

Json
ToJson(const ListedHost& aHost)
{
  return { { "id", aHost.id_ },         { "address", aHost.address_ },
           { "rack", aHost.rack_ },     { "zone", aHost.zone_ },
           { "region", aHost.region_ }, { "state", aHost.leaving_ ? "leaving" : "live" } };
}

Json
ToJson(const HostPower& aPower)
{
  constexpr std::array<const char*, static_cast<size_t>(HostPower::State::Count)> kNames{
    "up", "rebooting", "down"
  };
  return { { "state", kNames.at(static_cast<size_t>(aPower.state_)) }, { "boot", aPower.boot_ } };
}

Json
ToJson(const PlatformCalls& aCalls)
{
  return { { "reads", aCalls.reads_ },          { "writes", aCalls.writes_ },
           { "watches", aCalls.watches_ },      { "leases", aCalls.leases_ },
           { "host_lists", aCalls.hostLists_ }, { "host_controls", aCalls.hostControls_ },
           { "refused", aCalls.refused_ },      { "served", aCalls.Served() } };
}

ListedHost
ReadListedHost(const Json& aJson)
{
  const std::string state = aJson.value("state", "live");
  if (state != "live" && state != "leaving") {
    throw std::invalid_argument("unknown host state \"" + state + "\"");
  }
  return { aJson.at("id"),   aJson.at("address"), aJson.at("rack"),
           aJson.at("zone"), aJson.at("region"),  state == "leaving" };
}

bool
SetFault(PlatformFaults& aFaults, const std::string& aName, const Json& aValue)
{
  const auto setter = Setters().find(aName);
  if (setter == Setters().end()) {
    return false;
  }
  setter->second(aFaults, aValue);
  return true;
}

}
