#include "sardinespoke/profile_set.h"

#include "config_errors.h"
#include "sardinespoke/profile_diff.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck/gtest.h>

namespace sardinespoke {
namespace {

using Code = ConfigError::Code;
using Json = nlohmann::json;

constexpr uint64_t kFleetSlots = 400; // 50 workers with 8 slots.

const std::map<std::string, uint32_t> kPoolHosts{ { "intake", 10 },
                                                  { "ledger", 10 },
                                                  { "members", 10 },
                                                  { "reports", 10 },
                                                  { "routes", 10 } };

/// A change to the Inyana example that must be rejected.
struct BadChange
{
  const char* pointer_;
  Json value_;
  Code code_;
  const char* path_;    ///< Expected path of the error.
  const char* expects_; ///< Part of the message.
};

// Guards against accepting an invalid document, and against errors that name the wrong field.
TEST(ProfileSet, MistakesAreRefusedWithTheirPath)
{
  const BadChange changes[] = {
    { "/profiles/births-urgent/priority",
      1,
      Code::Schema,
      "/profiles/births-urgent/priority",
      "an unknown key; expected one of entitled_slots" },
    { "/pool", Json::object(), Code::Schema, "/pool", "unknown key" },
    { "/profiles/births-urgent/run_limit_s",
      5,
      Code::Schema,
      "/profiles/births-urgent/run_limit_s",
      "run_limit_ms" },
    { "/profiles/births-urgent/run_limit_ms",
      "10s",
      Code::Schema,
      "/profiles/births-urgent/run_limit_ms",
      "found \"10s\"; expected a whole number of milliseconds from 1 to 86400000" },
    { "/profiles/births-urgent/run_limit_ms",
      0,
      Code::Schema,
      "/profiles/births-urgent/run_limit_ms",
      "found 0" },
    { "/profiles/births-urgent/max_slots",
      8.5,
      Code::Schema,
      "/profiles/births-urgent/max_slots",
      "found 8.5; expected a whole number of slots" },
    { "/profiles/births-urgent/max_slots",
      -8,
      Code::Schema,
      "/profiles/births-urgent/max_slots",
      "found -8" },
    { "/profiles/births-urgent/max_slots",
      4294967304ULL,
      Code::Schema,
      "/profiles/births-urgent/max_slots",
      "found 4294967304" },
    { "/profiles/births-urgent/urgency",
      "high",
      Code::Schema,
      "/profiles/births-urgent/urgency",
      "[\"urgent\",\"standard\",\"batch\"]" },
    { "/profiles/births-urgent/maintenance",
      3,
      Code::Schema,
      "/profiles/births-urgent/maintenance",
      "found 3; expected an object" },
    { "/profiles/x", Json::object(), Code::Schema, "/profiles/x/team", "found nothing" },
    { "/pools/intake/spare", "yes", Code::Schema, "/pools/intake/spare", "true or false" },
    { "/vouchers/The Herds", 3, Code::Schema, "/vouchers/The Herds", "lower-case" },
    { "/services/births/pool",
      "intakes",
      Code::Semantic,
      "/services/births/pool",
      "found \"intakes\"" },
    { "/services/births/profile",
      "birth",
      Code::Semantic,
      "/services/births/profile",
      "existing profile" },
    { "/services/births/profile",
      "walks-standard",
      Code::Semantic,
      "/services/walks/pool",
      "the pool of service \"births\"" },
    { "/profiles/births-urgent/team",
      "herd",
      Code::Semantic,
      "/profiles/births-urgent/team",
      "a team that has vouchers" },
    { "/profiles/walks-standard/entitled_slots",
      49,
      Code::Semantic,
      "/profiles/walks-standard/entitled_slots",
      "vouchers, 104" },
    { "/profiles/walks-standard/max_slots",
      47,
      Code::Semantic,
      "/profiles/walks-standard/max_slots",
      "found 47; expected at least entitled_slots, 48" },
    { "/profiles/walks-standard/maintenance/max_per_rack",
      2,
      Code::Semantic,
      "/profiles/walks-standard/maintenance/max_per_rack",
      "max_unavailable_hosts, 1" },
    { "/profiles/walks-standard/run_limit_ms",
      30001,
      Code::Semantic,
      "/profiles/walks-standard/maintenance/drain_limit_ms",
      "at least run_limit_ms, 30001" },
    { "/pools/routes/spare", true, Code::Semantic, "/pools/routes/spare", "\"members\"" },
    { "/vouchers/permits", 153, Code::Semantic, "/vouchers/permits", "the fleet, 400" },
    { "/pools/routes/floor_hosts",
      23,
      Code::Semantic,
      "/pools/routes/floor_hosts",
      "the fleet, 400" },
  };
  for (const BadChange& change : changes) {
    Json document = Json::parse(ReadExample("inyana"));
    document[Json::json_pointer(change.pointer_)] = change.value_;
    const ConfigError error =
      ConfigErrorOf([&] { return ProfileSet::Parse(document.dump(), kFleetSlots); });
    EXPECT_EQ(error.code_, change.code_) << change.pointer_ << ": " << error.message_;
    EXPECT_EQ(error.path_, change.path_) << error.message_;
    EXPECT_NE(error.message_.find(change.expects_), std::string::npos) << error.message_;
  }
}

// Guards against accepting malformed JSON, duplicate keys and missing sections.
TEST(ProfileSet, MalformedTextIsRefused)
{
  const auto errorOf = [](const std::string& aText) {
    return ConfigErrorOf([&] { return ProfileSet::Parse(aText, 0); });
  };
  EXPECT_EQ(errorOf("").code_, Code::NotJson);
  EXPECT_EQ(errorOf("{\"pools\": ").code_, Code::NotJson);
  EXPECT_EQ(errorOf("{} {}").code_, Code::NotJson);
  EXPECT_EQ(errorOf("{\"\xff\": 1}").code_, Code::NotJson);
  EXPECT_EQ(errorOf("[]").code_, Code::Schema);
  EXPECT_EQ(errorOf("{}").path_, "/vouchers");
  EXPECT_EQ(errorOf(R"({"pools": {}, "vouchers": {"a": 1, "b": 2, "a": 3}})").path_, "/vouchers/a");
  EXPECT_EQ(errorOf(R"({"history": [{}, {"author": "x", "author": "y"}]})").path_,
            "/history/1/author");
  EXPECT_EQ(errorOf(std::string(100000, '[')).code_, Code::NotJson);
  EXPECT_EQ(errorOf(std::string(100000, '[') + std::string(100000, ']')).code_, Code::Schema);
}

// Guards against shipped examples that the parser rejects.
TEST(ProfileSet, ExamplesAreValid)
{
  for (const char* name : { "inyana", "atlas" }) {
    const ProfileSet set = ProfileSet::Parse(ReadExample(name), kFleetSlots).value();
    EXPECT_EQ(set.pools_.size(), 5U);
    EXPECT_GE(set.vouchers_.size(), 4U);
    EXPECT_TRUE(set.CheckPools(kPoolHosts));
  }
}

// Guards against pools with too few hosts for their floor or their entitlements.
TEST(ProfileSet, PoolsMustHoldFloorAndEntitlements)
{
  const ProfileSet set = ProfileSet::Parse(ReadExample("inyana"), kFleetSlots).value();
  auto hosts = kPoolHosts;
  hosts["intake"] = 6;
  EXPECT_EQ(ConfigErrorOf([&] { return set.CheckPools(hosts); }).path_,
            "/pools/intake/floor_hosts");
  hosts = kPoolHosts;
  hosts.erase("routes");
  EXPECT_EQ(ConfigErrorOf([&] { return set.CheckPools(hosts); }).path_,
            "/pools/routes/floor_hosts");
  ProfileSet crowded = set;
  crowded.profiles_["births-urgent"].entitledSlots_ = 81;
  EXPECT_EQ(ConfigErrorOf([&] { return crowded.CheckPools(kPoolHosts); }).path_, "/pools/intake");
}

// Guards against a diff that misses a changed field or contains the revision or the history.
TEST(ProfileSet, DiffShowsEditedFieldsOnly)
{
  const ProfileSet before = ProfileSet::Parse(ReadExample("inyana"), 0).value();
  ProfileSet after = before;
  after.revision_ = 9;
  after.history_.push_back({ 9, "c9", "ann", "", "" });
  EXPECT_TRUE(DiffProfileSets(before, after).empty());
  after.profiles_["births-urgent"].maxSlots_ = 72;
  after.services_.erase("walks");
  const auto changes = DiffProfileSets(before, after);
  ASSERT_EQ(changes.size(), 3U);
  EXPECT_EQ(DescribeChanges(changes, 1), "/profiles/births-urgent/max_slots 80 -> 72 and 2 more");
  EXPECT_EQ(changes[1].path_, "/services/walks/pool");
  EXPECT_EQ(changes[1].after_, "");
}

// Guards against fields that serializing and parsing a document loses or changes.
RC_GTEST_PROP(ProfileSetProperty, ParseOfSerializeIsEqual, ())
{
  ProfileSet set;
  set.revision_ = *rc::gen::inRange<uint64_t>(0, 1ULL << 62);
  set.vouchers_["team"] = 1000;
  set.pools_["pool"] = { "pool",
                         *rc::gen::inRange<uint32_t>(0, 100),
                         *rc::gen::inRange<uint32_t>(1, 64),
                         *rc::gen::inRange<uint32_t>(1, 1000),
                         *rc::gen::arbitrary<bool>() };
  const auto count = *rc::gen::inRange(0, 10);
  for (int index = 0; index < count; ++index) {
    Profile profile;
    profile.name_ = "p" + std::to_string(index);
    profile.team_ = "team";
    profile.entitledSlots_ = *rc::gen::inRange<uint32_t>(0, 100);
    profile.maxSlots_ = *rc::gen::inRange<uint32_t>(100, 1000);
    profile.urgency_ = *rc::gen::element(Urgency::Urgent, Urgency::Standard, Urgency::Batch);
    profile.queueLimit_ = std::chrono::milliseconds(*rc::gen::inRange(1, 100000));
    profile.runLimit_ = std::chrono::milliseconds(*rc::gen::inRange(1, 1000));
    profile.queueLength_ = *rc::gen::inRange<uint32_t>(1, 1000);
    profile.maintenance_.maxUnavailableHosts_ = *rc::gen::inRange<uint32_t>(5, 10);
    profile.maintenance_.maxPerRack_ = *rc::gen::inRange<uint32_t>(1, 6);
    profile.maintenance_.drainLimit_ = std::chrono::milliseconds(*rc::gen::inRange(1000, 99999));
    profile.maintenance_.rebootLimit_ = std::chrono::milliseconds(*rc::gen::inRange(1, 99999));
    set.profiles_[profile.name_] = profile;
    set.services_["s" + profile.name_] = { "s" + profile.name_, "pool", profile.name_ };
    set.history_.push_back({ set.revision_, "c" + profile.name_, "a\"b", "text", "2026" });
  }
  RC_ASSERT(ProfileSet::Parse(set.Serialize(), 0).value() == set);
}

}
}
