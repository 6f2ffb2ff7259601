#include "platform_routes.h"

#include "hosts_source.h"
#include "sardinespoke/manual_clock.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <set>

namespace sardinespoke {
namespace {

class PlatformRoutesTest : public ::testing::Test
{
protected:
  unsigned int Post(const std::string& aPath, const std::string& aBody)
  {
    return routes_.Handle({ "POST", aPath, {}, "", aBody }).status_;
  }

  ManualClock clock_;
  MemoryPlatform platform_{ clock_, { false, std::chrono::seconds(5) } };
  PlatformRoutes routes_{ platform_ };
};

// Guards against an invalid fault request that is applied in part.
TEST_F(PlatformRoutesTest, FaultRequestsApplyCompletelyOrNotAtAll)
{
  EXPECT_EQ(Post("/faults/v1", R"({"store_down": true, "slow": 5})"), 400U);
  EXPECT_EQ(Post("/faults/v1", R"({"store_down": true, "slow_ms": "5"})"), 400U);
  EXPECT_EQ(Post("/faults/v1", R"({"restart_with": "none", "store_down": true})"), 400U);
  EXPECT_FALSE(platform_.Faults().storeDown_);
  EXPECT_EQ(Post("/faults/v1", R"({"store_down": true, "stuck_hosts": ["h1"]})"), 200U);
  EXPECT_TRUE(platform_.Faults().storeDown_);
  EXPECT_EQ(Post("/faults/v1", R"({"store_down": false})"), 200U);
  EXPECT_EQ(platform_.Faults().stuckHosts_.size(), 1U);
}

// Guards against a restart that loses the named snapshot and a control call that a fault blocks.
TEST_F(PlatformRoutesTest, RestartsFromNamedBackupWhileDown)
{
  ASSERT_TRUE(platform_.Put("a", "old", 0, {}));
  EXPECT_EQ(Post("/faults/v1", R"({"take_snapshot": "b1", "store_down": true})"), 200U);
  EXPECT_EQ(routes_.Handle({ "GET", "/kv/v1/keys/a", {}, "", "" }).status_, 503U);
  EXPECT_EQ(Post("/faults/v1", R"({"store_down": false})"), 200U);
  ASSERT_TRUE(platform_.Put("a", "new", 1, {}));
  EXPECT_EQ(Post("/faults/v1", R"({"restart_with": "b1"})"), 200U);
  EXPECT_EQ(platform_.Get("a").value().value_, "old");
  const auto calls =
    nlohmann::json::parse(routes_.Handle({ "GET", "/calls/v1", {}, "", "" }).body_);
  EXPECT_EQ(calls["refused"], 1);
  EXPECT_EQ(calls["writes"], 2);
}

// Guards against malformed requests that are executed with a default value.
TEST_F(PlatformRoutesTest, MalformedRequestsAreRefused)
{
  EXPECT_EQ(routes_.Handle({ "PUT", "/kv/v1/keys/a", {}, "", "1" }).status_, 400U);
  EXPECT_EQ(routes_.Handle({ "PUT", "/kv/v1/keys/a", { { "if_version", "0x" } }, "", "1" }).status_,
            400U);
  EXPECT_EQ(
    routes_.Handle({ "PUT", "/kv/v1/keys/a", { { "if_version", "0" } }, "", "\xff" }).status_,
    400U);
  EXPECT_EQ(routes_.Handle({ "GET", "/kv/v1/keys/", {}, "", "" }).status_, 404U);
  EXPECT_EQ(Post("/hosts/v1/list", R"({"leaving": ["h1"]})"), 400U);
  EXPECT_EQ(platform_.Range("").value().items_.size(), 0U);
}

// Guards against invisible host list changes and consecutive generated hosts in one rack.
TEST_F(PlatformRoutesTest, HostListChanges)
{
  GeneratedHosts generated;
  generated.count_ = 50;
  generated.racks_ = 13;
  generated.zones_ = 3;
  std::set<std::string> racks;
  for (const ListedHost& host : generated.Make()) {
    platform_.AddHost(host);
    if (host.id_ < "host-0010") {
      racks.insert(host.rack_);
    }
  }
  EXPECT_EQ(racks.size(), 10U);
  EXPECT_EQ(Post("/hosts/v1/list", R"({"leaving": ["host-0001"], "remove": ["host-0002"],
    "add": [{"id": "x", "address": "127.0.0.1:9", "rack": "r", "zone": "z", "region": "g"}]})"),
            200U);
  const HostListSnapshot list = platform_.Fetch().value();
  ASSERT_EQ(list.hosts_.size(), 50U);
  EXPECT_TRUE(list.hosts_[1].leaving_);
  EXPECT_EQ(list.hosts_[2].id_, "host-0003");
  EXPECT_EQ(list.hosts_[49].id_, "x");
}

}
}
