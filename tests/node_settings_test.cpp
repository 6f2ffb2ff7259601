#include "sardinespoke/node_settings.h"

#include <gtest/gtest.h>

namespace sardinespoke {
namespace {

// A reload must report settings that need a restart, and must not apply them.
TEST(NodeSettings, ReloadTakesOverTheLogLevelOnly)
{
  NodeSettings settings;
  settings.store_ = Endpoint{ "127.0.0.1", 7000 };
  NodeSettings next = settings;
  next.logLevel_ = "debug";
  EXPECT_TRUE(settings.Reload(next));
  EXPECT_EQ(settings.logLevel_, "debug");
  next.store_.port_ = 7001;
  EXPECT_FALSE(settings.Reload(next));
  EXPECT_EQ(settings.store_.port_, 7000);
}

// A port out of range was read as port 0.
TEST(NodeSettings, AddressesOutOfRangeAreErrors)
{
  const auto parses = [](const std::string& aStore, const std::string& aAdvice) {
    const auto settings = NodeSettings::Parse(
      R"({"id":"e","zone":"z","caller":"10.0.0.1:1","health":"10.0.0.1:2","peer":"10.0.0.1:3",
          "host_control":"10.0.0.2:1","store":")" +
      aStore + R"(","advice":")" + aAdvice + R"("})");
    return static_cast<bool>(settings);
  };
  EXPECT_TRUE(parses("10.0.0.2:7000", ""));
  EXPECT_TRUE(parses("10.0.0.2:7000", "10.0.0.3:7000"));
  EXPECT_FALSE(parses("10.0.0.2:70000", ""));
  EXPECT_FALSE(parses("10.0.0.2:0", ""));
  EXPECT_FALSE(parses("10.0.0.256:7000", ""));
  EXPECT_FALSE(parses("10.0.0.2:7000", "10.0.0.3:70000"));
}

// The schema of the optional object must be usable, and its values must go before derived ones.
TEST(NodeSettings, LimitsForClientsFollowFromTheMachineUnlessSet)
{
  const auto read = [](const std::string& aMore) {
    return leaf::try_handle_all(
      [&]() -> leaf::result<IntakeLimits> {
        BOOST_LEAF_AUTO(settings,
                        NodeSettings::Parse(
                          R"({"id":"e","zone":"z","caller":"10.0.0.1:1","health":"10.0.0.1:2",
                              "peer":"10.0.0.1:3","host_control":"10.0.0.2:1",
                              "store":"10.0.0.2:7000")" +
                          aMore + "}"));
        return settings.intake_;
      },
      [] {
        IntakeLimits unreadable;
        unreadable.budgetBytes_ = 0;
        return unreadable;
      });
  };
  EXPECT_EQ(read(""), IntakeLimits());
  const IntakeLimits derived = read(R"(,"memory_mb":160,"max_descriptors":400)");
  EXPECT_EQ(derived.budgetBytes_, 40U << 20U);
  EXPECT_EQ(derived.maxConnections_, 100U);
  const IntakeLimits chosen =
    read(R"(,"memory_mb":160,"intake":{"budget_bytes":2000000,"max_header_fields":9})");
  EXPECT_EQ(chosen.budgetBytes_, 2000000U);
  EXPECT_EQ(chosen.maxHeaderFields_, 9U);
  EXPECT_EQ(read(R"(,"intake":{"budget_byte":2000000})").budgetBytes_, 0U);
  EXPECT_EQ(read(R"(,"intake":{"least_bytes_per_second":0})").budgetBytes_, 0U);
}

}
}
