#include "cluster_fixture.h"

namespace sardinespoke {
namespace {

// Guards against a daemon that registers but never gets onto the member list, or that reads the
// store although an observer answers.
TEST_F(ClusterTest, JoinsAndConfirms)
{
  Start({ "e1", "e2", "e3", "e4" });
  EXPECT_EQ(StoredFleetMap().members_.size(), 4U);
  EXPECT_TRUE(Node("e1").sync_.IsObserver());
  EXPECT_TRUE(Node("e2").sync_.IsObserver());
  EXPECT_FALSE(Node("e3").sync_.IsObserver());
  EXPECT_EQ(Node("e4").sync_.Roster().size(), 4U);
  EXPECT_EQ(Node("e4").sync_.Roster().at("e1").fleetRevision_, StoredFleetMap().revision_);
}

}
}
