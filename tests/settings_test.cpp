#include "sardinespoke/settings.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <fstream>
#include <sstream>

namespace sardinespoke {
namespace {

nlohmann::json
ValidSettings()
{
  return nlohmann::json::parse(R"({
    "id": "entry-1", "zone": "dc-a", "region": "r1",
    "caller": {"address": "127.0.0.1", "port": 8101},
    "admin": {"address": "127.0.0.1", "port": 8201},
    "peer": {"address": "127.0.0.1", "port": 8301},
    "platform": {"address": "127.0.0.1", "port": 8000}
  })");
}

/// @returns The error of parsing an invalid text.
ConfigError
ErrorOf(const std::string& aText)
{
  return leaf::try_handle_all(
    [&]() -> leaf::result<ConfigError> {
      BOOST_LEAF_CHECK(Settings::Parse(aText));
      return ConfigError{ ConfigError::Code::Count, "", "accepted" };
    },
    [](const ConfigError& aError) { return aError; },
    []() {
      return ConfigError{ ConfigError::Code::Count, "", "other error" };
    });
}

// Guards against defaults that differ from the documented ones.
TEST(Settings, DefaultsApply)
{
  const auto parsed = Settings::Parse(ValidSettings().dump());
  ASSERT_TRUE(parsed);
  EXPECT_EQ(parsed->caller_.Text(), "127.0.0.1:8101");
  EXPECT_EQ(parsed->keyPrefix_, "sardinespoke/");
  EXPECT_EQ(parsed->retryPercent_, 10U);
}

// Guards against misspelt keys that are silently ignored.
TEST(Settings, UnknownKeyIsRefusedWithItsName)
{
  auto document = ValidSettings();
  document["limits"]["stop_grace"] = 3;
  const auto error = ErrorOf(document.dump());
  EXPECT_EQ(error.code_, ConfigError::Code::Schema);
  EXPECT_EQ(error.path_, "/limits/stop_grace");
  EXPECT_NE(error.message_.find("unknown key"), std::string::npos);
  EXPECT_NE(error.message_.find("stop_grace_ms"), std::string::npos);
}

// Guards against a duration given as text with a unit, which would be read as zero.
TEST(Settings, BadUnitIsRefused)
{
  auto document = ValidSettings();
  document["limits"]["stop_grace_ms"] = "3s";
  const auto error = ErrorOf(document.dump());
  EXPECT_EQ(error.code_, ConfigError::Code::Schema);
  EXPECT_EQ(error.path_, "/limits/stop_grace_ms");
}

// Guards against limits that contradict each other.
TEST(Settings, ContradictingLimitsAreRefused)
{
  auto document = ValidSettings();
  document["limits"] = { { "stop_grace_ms", 5000 }, { "stop_limit_ms", 1000 } };
  const auto error = ErrorOf(document.dump());
  EXPECT_EQ(error.code_, ConfigError::Code::Semantic);
  EXPECT_EQ(error.path_, "/limits/stop_limit_ms");
}

// Guards against two listeners on one port, of which only one would start.
TEST(Settings, SharedListenerIsRefused)
{
  auto document = ValidSettings();
  document["peer"]["port"] = 8101;
  EXPECT_EQ(ErrorOf(document.dump()).path_, "/peer");
}

// Guards against a crash on text that is not JSON, and against accepting duplicate keys.
TEST(Settings, BrokenTextIsRefused)
{
  EXPECT_EQ(ErrorOf("{").code_, ConfigError::Code::NotJson);
  EXPECT_EQ(ErrorOf("").code_, ConfigError::Code::NotJson);
  const auto error = ErrorOf(R"({"id": "a", "id": "b"})");
  EXPECT_EQ(error.code_, ConfigError::Code::Schema);
  EXPECT_EQ(error.path_, "/id");
  EXPECT_NE(error.message_.find("twice"), std::string::npos);
}

// Guards against shipped example settings that the parser rejects.
TEST(Settings, ExamplesAreAccepted)
{
  for (const char* name : { "inyana", "atlas" }) {
    std::ifstream file(std::string(SOURCE_DIR) + "/examples/" + name + ".settings.json");
    std::ostringstream text;
    text << file.rdbuf();
    const auto parsed = Settings::Parse(text.str());
    ASSERT_TRUE(parsed) << name;
    EXPECT_EQ(parsed->region_, name);
  }
}

}
}
