#include "sardinespoke/profile_editor.h"

#include "config_errors.h"
#include "memory_platform.h"
#include "sardinespoke/manual_clock.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <array>
#include <thread>
#include <utility>

namespace sardinespoke {
namespace {

using Code = ConfigError::Code;
using ::testing::HasSubstr;

constexpr const char* kKey = "sardinespoke/config/profiles";

/// @returns JSON text of a profile of team "herds" in the Inyana example.
std::string
BirthsProfile(uint32_t aMaxSlots)
{
  return R"({"team": "herds", "entitled_slots": 56, "queue_limit_ms": 2500, "max_slots": )" +
         std::to_string(aMaxSlots) + "}";
}

class ProfileEditorTest : public ::testing::Test
{
protected:
  void SetUp() override
  {
    ASSERT_EQ(editor_.ApplyDocument(ReadExample("inyana"), { "c1", "ann", 0 }).value().revision_,
              1U);
  }

  leaf::result<AcceptedEdit> PutBirths(uint32_t aMaxSlots, const EditRequest& aRequest)
  {
    return editor_.PutProfile("births-urgent", BirthsProfile(aMaxSlots), aRequest);
  }

  ConfigError ErrorOfPut(uint32_t aMaxSlots, const EditRequest& aRequest)
  {
    return ConfigErrorOf([&] { return PutBirths(aMaxSlots, aRequest); });
  }

  ProfileSet Current() { return editor_.Read().value(); }

  void LoseResponses(uint32_t aCount)
  {
    platform_.ChangeFaults([&](PlatformFaults& aFaults) { aFaults.loseWriteResponses_ = aCount; });
  }

  ManualClock clock_;
  MemoryPlatform platform_{ clock_, { false, std::chrono::seconds(5) } };
  uint64_t inForce_ = 0;
  FleetCapacity capacity_;
  ProfileEditor editor_{ platform_,
                         "sardinespoke/",
                         { [this] { return capacity_; },
                           [this] { return inForce_; },
                           [] { return "2026-12-04T09:00:00Z"; } } };
};

// Guards against edits that skip a revision, lose the history or touch other fields.
TEST_F(ProfileEditorTest, EachEditIsTheNextRevision)
{
  EXPECT_EQ(PutBirths(72, { "c2", "ben", 1 }).value().revision_, 2U);
  EXPECT_EQ(Current().profiles_.at("births-urgent").maxSlots_, 72U);
  const ChangeRecord record = Current().history_.back();
  EXPECT_EQ(record.revision_, 2U);
  EXPECT_EQ(record.changeId_ + " " + record.author_ + " " + record.acceptedAt_,
            "c2 ben 2026-12-04T09:00:00Z");
  EXPECT_EQ(record.summary_,
            "/profiles/births-urgent/max_slots 80 -> 72, "
            "/profiles/births-urgent/run_limit_ms 10000 -> 30000, "
            "/profiles/births-urgent/urgency \"urgent\" -> \"standard\"");
  const char* extra = R"({"team": "permits", "entitled_slots": 0, "max_slots": 8})";
  EXPECT_EQ(editor_.PutProfile("extra", extra, { "c3", "ann", 2 }).value().revision_, 3U);
  EXPECT_EQ(Current().profiles_.size(), 8U);
  EXPECT_EQ(editor_.DeleteProfile("extra", { "c4", "ann", 3 }).value().revision_, 4U);
  EXPECT_EQ(Current().profiles_.size(), 7U);
  EXPECT_EQ(editor_.ApplyDocument(ReadExample("atlas"), { "c5", "ann", 4 }).value().revision_, 5U);
  EXPECT_EQ(Current().profiles_.count("births-urgent"), 0U);
  EXPECT_EQ(Current().history_.size(), 5U);
}

// Guards against an invalid document in the store being reported as an outage.
TEST_F(ProfileEditorTest, DamagedDocumentIsReported)
{
  ASSERT_TRUE(platform_.Put(kKey, "{}", platform_.Get(kKey).value().version_, {}));
  const ConfigError error = ErrorOfPut(72, { "c2", "ben", 1 });
  EXPECT_EQ(error.code_, Code::Schema);
  EXPECT_THAT(error.message_, HasSubstr("the document in the store is not valid"));
}

// Guards against a rejected edit that changes the document or consumes a revision.
TEST_F(ProfileEditorTest, RejectedEditsChangeNothing)
{
  const std::string before = platform_.Get(kKey).value().value_;
  const auto writes = platform_.Calls().writes_;
  EXPECT_EQ(ErrorOfPut(55, { "c2", "ben", 1 }).path_, "/profiles/births-urgent/max_slots");
  const auto putBad = [&](const std::string& aText) {
    return ConfigErrorOf([&] { return editor_.PutProfile("p", aText, { "c2", "ben", 1 }); });
  };
  EXPECT_EQ(putBad(R"({"team": "herds", "team": "x"})").path_, "/profiles/p/team");
  EXPECT_EQ(putBad("{").code_, Code::NotJson);
  EXPECT_EQ(putBad("3").path_, "/profiles/p");
  const auto remove = [&](const std::string& aName) {
    return ConfigErrorOf([&] { return editor_.DeleteProfile(aName, { "c2", "ben", 1 }); });
  };
  EXPECT_EQ(remove("none").code_, Code::NotFound);
  EXPECT_EQ(remove("births-urgent").path_, "/services/births/profile");
  EXPECT_EQ(ErrorOfPut(72, { "", "ben", 1 }).path_, "/change_id");
  EXPECT_EQ(ErrorOfPut(72, { "c2", std::string(129, 'x'), 1 }).path_, "/author");
  EXPECT_EQ(ErrorOfPut(72, { "c2", "\xff", 1 }).path_, "/author");
  capacity_.slots_ = 200;
  EXPECT_EQ(ErrorOfPut(72, { "c2", "ben", 1 }).code_, Code::Semantic);
  capacity_ = { 400, { { "intake", 6 } } };
  EXPECT_EQ(ErrorOfPut(72, { "c2", "ben", 1 }).path_, "/pools/intake/floor_hosts");
  EXPECT_EQ(platform_.Get(kKey).value().value_, before);
  EXPECT_EQ(platform_.Calls().writes_, writes);
}

// Guards against an edit that is reported as failed or applied twice after a lost response.
TEST_F(ProfileEditorTest, LostResponseIsFoundByChangeId)
{
  LoseResponses(1);
  const AcceptedEdit edit = PutBirths(72, { "c2", "ben", 1 }).value();
  EXPECT_EQ(edit.revision_, 2U);
  EXPECT_FALSE(edit.repeated_);
  EXPECT_EQ(Current().revision_, 2U);
}

// Guards against a retried change that is applied twice or rejected because of its old base.
TEST_F(ProfileEditorTest, RepeatedChangeIsAcceptedOnce)
{
  ASSERT_TRUE(PutBirths(72, { "c2", "ben", 1 }));
  ASSERT_TRUE(PutBirths(64, { "c3", "ann", 2 }));
  const AcceptedEdit again = PutBirths(72, { "c2", "ben", 1 }).value();
  EXPECT_EQ(again.revision_, 2U);
  EXPECT_TRUE(again.repeated_);
  EXPECT_EQ(Current().revision_, 3U);
  EXPECT_EQ(Current().profiles_.at("births-urgent").maxSlots_, 64U);
  EXPECT_EQ(ErrorOfPut(70, { "c2", "ann", 3 }).path_, "/change_id");
}

// Guards against an edit that overwrites a later one that its operator has not seen.
TEST_F(ProfileEditorTest, ConflictNamesLaterChangesAndFields)
{
  ASSERT_TRUE(PutBirths(72, { "c2", "ben", 1 }));
  const ConfigError error = ErrorOfPut(64, { "c3", "ann", 1 });
  EXPECT_EQ(error.code_, Code::Conflict);
  EXPECT_THAT(error.message_, HasSubstr("change \"c2\" by ben is revision 2"));
  EXPECT_THAT(error.message_, HasSubstr("/profiles/births-urgent/max_slots 72 -> 64"));
  EXPECT_THAT(error.message_, ::testing::Not(HasSubstr("c1")));
  EXPECT_EQ(ErrorOfPut(64, { "c3", "ann", 9 }).code_, Code::Conflict);
  EXPECT_EQ(Current().revision_, 2U);
}

// Guards against an edit reported as accepted or unknown although no request reached the store.
TEST_F(ProfileEditorTest, StoreDownIsADefiniteFailure)
{
  platform_.ChangeFaults([](PlatformFaults& aFaults) { aFaults.storeDown_ = true; });
  EXPECT_EQ(ErrorOfPut(72, { "c2", "ben", 1 }).code_, Code::StoreDown);
  platform_.SetFaults({});
  EXPECT_EQ(Current().revision_, 1U);
}

// Guards against accepting an edit of a restored backup, which the write-back would revert.
TEST_F(ProfileEditorTest, RestoredStoreRefusesEditsUntilWrittenBack)
{
  const PlatformSnapshot backup = platform_.TakeSnapshot();
  ASSERT_TRUE(PutBirths(72, { "c2", "ben", 1 }));
  inForce_ = 2;
  platform_.RestartWith(backup);
  EXPECT_EQ(ErrorOfPut(64, { "c3", "ann", 1 }).code_, Code::StoreDown);
  EXPECT_EQ(ErrorOfPut(64, { "c3", "ann", 2 }).code_, Code::StoreDown);
  EXPECT_EQ(Current().revision_, 1U);
}

// Guards against a history that grows with every edit.
TEST_F(ProfileEditorTest, HistoryIsBounded)
{
  for (uint64_t revision = 1; revision <= ProfileSet::kMaxHistory + 5; ++revision) {
    const std::string id = "n" + std::to_string(revision);
    ASSERT_TRUE(PutBirths(60 + revision % 2, { id, "ann", revision }));
  }
  EXPECT_EQ(Current().history_.size(), ProfileSet::kMaxHistory);
  EXPECT_EQ(Current().history_.back().revision_, ProfileSet::kMaxHistory + 6);
  EXPECT_EQ(ErrorOfPut(60, { "n1", "ann", 1 }).code_, Code::Conflict);
}

// Guards against two concurrent edits that are both reported as accepted with the same revision.
TEST_F(ProfileEditorTest, ConcurrentEditsGetDistinctRevisions)
{
  constexpr size_t kOperators = 4;
  constexpr uint64_t kEdits = 40;
  std::array<std::vector<uint64_t>, kOperators> won;
  std::array<std::thread, kOperators> operators;
  for (size_t index = 0; index < kOperators; ++index) {
    operators[index] = std::thread([&, index] {
      ProfileEditor editor(platform_, "sardinespoke/");
      for (uint64_t base = 1; base <= kEdits; ++base) {
        while (editor.Read().value().revision_ < base) {
          std::this_thread::yield();
        }
        const std::string id = std::to_string(index) + "-" + std::to_string(base);
        const auto text = BirthsProfile(60 + static_cast<uint32_t>(index));
        const auto accepted = editor.PutProfile("births-urgent", text, { id, "ann", base });
        if (accepted) {
          won[index].push_back(accepted.value().revision_);
        }
      }
    });
  }
  std::vector<uint64_t> all;
  for (size_t index = 0; index < kOperators; ++index) {
    operators[index].join();
    all.insert(all.end(), won[index].begin(), won[index].end());
  }
  std::sort(all.begin(), all.end());
  ASSERT_EQ(all.size(), kEdits);
  for (uint64_t index = 0; index < kEdits; ++index) {
    EXPECT_EQ(all[index], index + 2);
  }
}

/// Forwards calls to a platform; each Put() takes the next step of a script of faults.
class ScriptedStore final : public KeyValueStoreI
{
public:
  enum class Step
  {
    Pass,
    LoseRequest, ///< The write does not take effect; reported as unknown.
    LoseResponse,
    Delay,           ///< Reported as unknown; takes effect just before the next put or at the end.
    ConcurrentWrite, ///< Another operator's edit is written first.
    Down,
    Count
  };

  explicit ScriptedStore(MemoryPlatform& aPlatform)
    : platform_(aPlatform)
    , other_(aPlatform, "sardinespoke/")
  {
  }

  leaf::result<KeyValueItem> Get(const std::string& aKey) override
  {
    if (down_) {
      return leaf::new_error(StoreError{ StoreError::Code::Unreachable, "down" });
    }
    return platform_.Get(aKey);
  }

  leaf::result<uint64_t> Put(const std::string& aKey,
                             const std::string& aValue,
                             uint64_t aIfVersion,
                             const std::optional<std::string>& aLease) override
  {
    ApplyDelayedPut();
    const Step step = next_ < script_.size() ? script_[next_] : Step::Pass;
    ++next_;
    if (step == Step::ConcurrentWrite) {
      const uint64_t base = other_.Read().value().revision_;
      const EditRequest request{ "other-" + std::to_string(next_), "ben", base };
      static_cast<void>(other_.PutProfile("births-urgent", BirthsProfile(60), request));
    }
    down_ = step == Step::Down;
    if (step == Step::Delay) {
      delayed_ = [this, aKey, aValue, aIfVersion, aLease] {
        static_cast<void>(platform_.Put(aKey, aValue, aIfVersion, aLease));
      };
    }
    if (step == Step::LoseRequest || step == Step::Delay || down_) {
      return leaf::new_error(StoreError{ StoreError::Code::OutcomeUnknown, "lost" });
    }
    auto result = platform_.Put(aKey, aValue, aIfVersion, aLease);
    if (step == Step::LoseResponse) {
      return leaf::new_error(StoreError{ StoreError::Code::OutcomeUnknown, "lost" });
    }
    return result;
  }

  leaf::result<void> Delete(const std::string&, uint64_t) override { return {}; }
  leaf::result<KeyValueRange> Range(const std::string&) override { return KeyValueRange{}; }
  leaf::result<KeyValueChanges> Watch(const std::string&,
                                      uint64_t,
                                      std::chrono::milliseconds) override
  {
    return KeyValueChanges{};
  }
  leaf::result<std::string> GrantLease(std::chrono::milliseconds) override { return std::string(); }
  leaf::result<void> RenewLease(const std::string&) override { return {}; }
  leaf::result<void> RevokeLease(const std::string&) override { return {}; }

  /// Executes a delayed put.
  void ApplyDelayedPut()
  {
    if (delayed_) {
      std::exchange(delayed_, nullptr)();
    }
  }

  std::vector<Step> script_;

private:
  MemoryPlatform& platform_;
  ProfileEditor other_;
  std::function<void()> delayed_;
  size_t next_ = 0;
  bool down_ = false;
};

/// Runs one edit with base revision 1 against a script.
/// @returns The error, with code Count if the edit was accepted.
ConfigError
RunScript(MemoryPlatform& aPlatform, const std::vector<ScriptedStore::Step>& aScript)
{
  ProfileEditor seed(aPlatform, "sardinespoke/");
  static_cast<void>(seed.ApplyDocument(ReadExample("inyana"), { "c1", "ann", 0 }));
  ScriptedStore store(aPlatform);
  store.script_ = aScript;
  ProfileEditor editor(store, "sardinespoke/");
  return ConfigErrorOf([&] {
    return editor.PutProfile("births-urgent", BirthsProfile(72), { "c2", "ann", 1 });
  });
}

// Guards against StoreDown after a write of unknown outcome, since StoreDown means that nothing was
// changed.
TEST(ProfileEditorPlans, DownAfterAnUnknownWriteIsUnknown)
{
  const ManualClock clock;
  MemoryPlatform platform(clock, { false, std::chrono::seconds(5) });
  const ConfigError error = RunScript(platform, { ScriptedStore::Step::Down });
  EXPECT_EQ(error.code_, Code::OutcomeUnknown);
  EXPECT_THAT(error.message_, HasSubstr("repeat it with change id \"c2\""));
}

// Guards against a reported result of an edit that contradicts the document, under any sequence of
// write faults.
RC_GTEST_PROP(ProfileEditorProperty, ResultMatchesDocument, ())
{
  using Step = ScriptedStore::Step;
  const auto plan = *rc::gen::container<std::vector<Step>>(rc::gen::element(Step::Pass,
                                                                            Step::LoseRequest,
                                                                            Step::LoseResponse,
                                                                            Step::Delay,
                                                                            Step::ConcurrentWrite,
                                                                            Step::Down));
  const ManualClock clock;
  MemoryPlatform platform(clock, { false, std::chrono::seconds(5) });
  const ConfigError error = RunScript(platform, plan);
  const ProfileSet set = ProfileEditor(platform, "sardinespoke/").Read().value();
  const auto applied = std::count_if(set.history_.begin(),
                                     set.history_.end(),
                                     [](const auto& aRecord) { return aRecord.changeId_ == "c2"; });
  RC_ASSERT(applied <= 1);
  RC_ASSERT(set.revision_ == set.history_.size());
  if (error.code_ == Code::Count) {
    RC_ASSERT(applied == 1);
  } else if (error.code_ != Code::OutcomeUnknown) {
    RC_ASSERT(error.code_ == Code::Conflict);
    RC_ASSERT(applied == 0);
  }
}

}
}
