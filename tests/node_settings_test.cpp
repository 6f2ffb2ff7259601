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

}
}
