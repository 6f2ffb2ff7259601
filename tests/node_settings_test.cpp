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

}
}
