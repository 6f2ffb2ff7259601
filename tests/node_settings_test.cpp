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

// The limits for clients must follow from the machine, and a wrong one must be named.
TEST(NodeSettings, ReadsTheLimitsForClients)
{
  const auto parse = [](const std::string& aFields) {
    return NodeSettings::Parse(
      R"({"id":"e","zone":"z","caller":"10.0.0.1:1","health":"10.0.0.1:2","peer":"10.0.0.1:3",
          "host_control":"10.0.0.2:1","store":"10.0.0.2:7000")" +
      aFields + "}");
  };
  const auto plain = parse("");
  ASSERT_TRUE(plain);
  EXPECT_EQ(plain->intake_, IntakeLimits());
  const auto small = parse(R"(,"memory_mb":160,"max_descriptors":200)");
  ASSERT_TRUE(small);
  EXPECT_EQ(small->intake_.budgetBytes_, 40U << 20U);
  EXPECT_EQ(small->intake_.maxConnections_, 50U);
  const auto unknown = parse(R"(,"memory_mb":0,"max_descriptors":0)");
  ASSERT_TRUE(unknown);
  EXPECT_EQ(unknown->intake_, IntakeLimits());
  const auto set = parse(R"(,"memory_mb":160,"intake":{"budget_bytes":2000000,
                            "max_body_bytes":5000,"head_timeout_ms":70})");
  ASSERT_TRUE(set);
  EXPECT_EQ(set->intake_.budgetBytes_, 2000000U);
  EXPECT_EQ(set->intake_.maxBodyBytes_, 5000U);
  EXPECT_EQ(set->intake_.headTimeout_, std::chrono::milliseconds(70));
  EXPECT_FALSE(parse(R"(,"intake":{"budget_bytes":5})"));
  EXPECT_FALSE(parse(R"(,"intake":{"no_such_limit":5})"));
}

}
}
