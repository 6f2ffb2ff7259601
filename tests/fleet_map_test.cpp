#include "sardinespoke/fleet_map.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace sardinespoke {
namespace {

FleetMap
FullSizeFleet()
{
  FleetMap fleet;
  fleet.revision_ = 123456;
  for (int i = 0; i < 2900; ++i) {
    FleetHost host;
    host.id_ = "worker-" + std::to_string(10000 + i);
    host.address_ = "10.12." + std::to_string(i / 250) + "." + std::to_string(i % 250) + ":8080";
    host.rack_ = "rack-" + std::to_string(i / 8);
    host.zone_ = "zone-" + std::to_string(i / 400);
    host.region_ = i < 1450 ? "north" : "south";
    host.pool_ = "pool-" + std::to_string(i % 27);
    host.changedRevision_ = 120000 + i;
    host.boot_ = 7;
    host.maintainedRollout_ = 52;
    fleet.hosts_.emplace(host.id_, host);
  }
  FleetHost& moving = fleet.hosts_.begin()->second;
  moving.state_ = HostState::Draining;
  moving.reason_ = DrainReason::Move;
  moving.targetPool_ = "pool-9";
  fleet.members_["e1"] = { "e1", "e1-4711", 3, 9 };
  fleet.BeginWrite("e1", "e1.1-1");
  fleet.BeginWrite("e1", "e1.1-2");
  fleet.rollout_ = { 53, true, true, "operator" };
  return fleet;
}

std::string
ErrorPath(const std::string& aText)
{
  return leaf::try_handle_all(
    [&]() -> leaf::result<std::string> {
      BOOST_LEAF_CHECK(FleetMap::Parse(aText));
      return std::string("accepted");
    },
    [](const ConfigError& aError) { return aError.path_; },
    [] { return std::string("other error"); });
}

// Guards against a field that is not serialized, and against a document above the store's 1 MB
// limit with 2900 hosts, the size expected in two years.
TEST(FleetMap, RoundTripAtFullSizeStaysSmall)
{
  const FleetMap fleet = FullSizeFleet();
  const std::string text = fleet.Serialize();
  EXPECT_LT(text.size(), fleet.hosts_.size() * 80);
  const leaf::result<FleetMap> parsed = FleetMap::Parse(text);
  ASSERT_TRUE(parsed);
  EXPECT_EQ(*parsed, fleet);
}

// Guards against accepting a malformed document, and against errors that do not name the field.
TEST(FleetMap, ErrorsNameThePath)
{
  FleetMap fleet;
  FleetHost host;
  host.id_ = "w1";
  host.pool_ = "births";
  fleet.hosts_.emplace("w1", host);
  const nlohmann::json good = nlohmann::json::parse(fleet.Serialize());
  EXPECT_EQ(ErrorPath(good.dump()), "accepted");
  const auto broken = [&good](const char* aPointer, const nlohmann::json& aValue) {
    nlohmann::json copy = good;
    copy[nlohmann::json::json_pointer(aPointer)] = aValue;
    return ErrorPath(copy.dump());
  };
  EXPECT_EQ(ErrorPath("{"), "");
  EXPECT_EQ(broken("/revision", -1), "/revision");
  EXPECT_EQ(broken("/extra", 1), "/extra");
  EXPECT_EQ(broken("/rollout/active", "yes"), "/rollout/active");
  EXPECT_EQ(broken("/domains/0", { "rack" }), "/domains/0");
  EXPECT_EQ(broken("/hosts/w1", nlohmann::json::array()), "/hosts/w1");
  EXPECT_EQ(broken("/hosts/w1/2", 5), "/hosts/w1/2");
  EXPECT_EQ(broken("/hosts/w1/3", "idle"), "/hosts/w1/3");
  EXPECT_EQ(broken("/hosts/w1/3", "draining"), "/hosts/w1");
  EXPECT_EQ(broken("/members/e1", { "i", 1 }), "/members/e1");
}

}
}
