#include "sardinespoke/event_log_ring.h"
#include "sardinespoke/manual_clock.h"
#include "sardinespoke/membership.h"
#include "sardinespoke/outage_rule.h"

#include <gtest/gtest.h>

namespace sardinespoke {
namespace {

using std::chrono::milliseconds;

/// Simulates a process that is paused between a request and its response.
/// @param aCount Selects the time from which the confirmation counts.
/// @returns Whether the process may dispatch when it resumes.
bool
DispatchesAfterPause(const std::function<TimePoint(TimePoint aSent, TimePoint aAnswered)>& aCount)
{
  ManualClock clock;
  ViewLease lease;
  const TimePoint sent = clock.Now();
  clock.Advance(milliseconds(60000));
  lease.Confirm(aCount(sent, clock.Now()));
  return lease.MayDispatch(clock.Now());
}

// Guards against a lease that counts from the response, which would ignore a pause before it.
TEST(ViewLeaseTest, CountsFromRequestTime)
{
  EXPECT_FALSE(DispatchesAfterPause([](TimePoint aSent, TimePoint) { return aSent; }));
  EXPECT_TRUE(DispatchesAfterPause([](TimePoint, TimePoint aAnswered) { return aAnswered; }))
    << "the check does not detect the mutant";
}

// Guards against a view whose age is lost when peers confirm it, or that a late response makes
// older.
TEST(ViewLeaseTest, KeepsPeerAgeAndNeverGoesBack)
{
  ManualClock clock;
  ViewLease lease;
  EXPECT_FALSE(lease.MayDispatch(clock.Now()));
  lease.ConfirmFromPeer(clock.Now(), milliseconds(2000));
  EXPECT_TRUE(lease.MayDispatch(clock.Now() + milliseconds(499)));
  EXPECT_FALSE(lease.MayDispatch(clock.Now() + milliseconds(500)));
  lease.Confirm(clock.Now() - milliseconds(2400));
  EXPECT_TRUE(lease.MayDispatch(clock.Now() + milliseconds(499)));
  lease.ConfirmFromPeer(clock.Now(), milliseconds(-5000));
  EXPECT_FALSE(lease.MayDispatch(clock.Now() + milliseconds(2500)));
}

// Guards against dispatching by an unconfirmed view while any member may have a newer one.
TEST(OutageRuleTest, NeedsFreshReplyOfEveryOtherMember)
{
  const TimePoint now = ManualClock().Now();
  const std::set<std::string> others{ "e2", "e3" };
  OutageRule rule;
  EXPECT_EQ(rule.ValidUntil({}, now), TimePoint::max()) << "alone in the member list";
  EXPECT_EQ(rule.ValidUntil({}, std::nullopt), TimePoint::min()) << "never had a view";
  rule.SetPeerReachability("e2", { false, now, now });
  EXPECT_EQ(rule.ValidUntil(others, now), TimePoint::min()) << "e3 has not answered";
  rule.SetPeerReachability("e3", { false, std::nullopt, now + milliseconds(300) });
  EXPECT_EQ(rule.ValidUntil(others, now), now + kViewLimit);
  rule.SetPeerReachability("e3", { true, now, now });
  EXPECT_EQ(rule.ValidUntil(others, now), TimePoint::min()) << "e3 reaches the store";
}

// Guards against trusting a member with intermittent access to the store. It can renew its
// registration between two replies, and the planner then takes this daemon for stopped.
TEST(OutageRuleTest, MemberThatReachedTheStoreLaterDoesNotCount)
{
  const TimePoint confirmed = ManualClock().Now();
  OutageRule rule;
  rule.SetPeerReachability("e2", { false, confirmed + kViewLimit, confirmed + milliseconds(9000) });
  EXPECT_GT(rule.ValidUntil({ "e2" }, confirmed), confirmed);
  rule.SetPeerReachability(
    "e2", { false, confirmed + kViewLimit + milliseconds(1), confirmed + milliseconds(9000) });
  EXPECT_EQ(rule.ValidUntil({ "e2" }, confirmed), TimePoint::min());
}

// Guards against observers that are no members or have no live entry record.
TEST(MembershipTest, ObserversAreTheFirstLiveMembers)
{
  FleetMap fleet;
  EntryRoster roster;
  for (const char* id : { "e1", "e3", "e4", "e5" }) {
    fleet.members_[id].id_ = id;
  }
  for (const char* id : { "e2", "e3", "e4", "e5" }) {
    roster[id].id_ = id;
  }
  EXPECT_EQ(Observers(&fleet, roster), (std::vector<std::string>{ "e3", "e4" }));
  EXPECT_TRUE(Observers(nullptr, roster).empty());
}

// Guards against an entry record that loses a field when serialized, or is accepted without one.
TEST(EntryRecordTest, RoundTripKeepsAllFields)
{
  const EntryRecord record{
    "e1", "p-1", "c:1", "a:1", "p:1", "z1", true, 3, 4, { "h1" }, { "h2" }
  };
  const auto parse = [](const std::string& aText) {
    return leaf::try_handle_all([&]() { return EntryRecord::Parse(aText); },
                                []() { return EntryRecord{}; });
  };
  EXPECT_EQ(parse(record.Serialize()), record);
  EXPECT_EQ(parse("[]").id_ + parse("{\"id\":\"e1\"}").id_ + parse("{").id_, "");
}

// Guards against events ordered before their cause, against a hybrid clock that one peer with a
// wrong clock advances, and against a log that grows without bound.
TEST(EventLogRingTest, OrdersByHybridTimeAndIsBounded)
{
  uint64_t wall = 1000;
  EventLogRing log("e1", [&]() { return wall; });
  log.Record("a", "", {});
  log.Observe(5000);
  log.Record("b", "", {});
  wall = 500;
  log.Observe(wall + EventLogRing::kMaxAheadMicroseconds + 1);
  log.Record("c", "", {});
  std::vector<Event> events = log.After(1);
  ASSERT_EQ(events.size(), 2U);
  EXPECT_EQ(events[0].hybridTime_, 5001U);
  EXPECT_EQ(events[1].hybridTime_, 5002U);
  for (size_t count = 0; count < EventLogRing::kCapacity; ++count) {
    log.Record("d", "", {});
  }
  events = log.After(0);
  EXPECT_EQ(events.size(), EventLogRing::kCapacity);
  EXPECT_EQ(events.front().sequence_, 4U);
}

}
}
