#include "sardinespoke/fleet_writer.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace sardinespoke {
namespace {

class MockStore : public KeyValueStoreI
{
public:
  MOCK_METHOD(leaf::result<KeyValueItem>, Get, (const std::string&), (override));
  MOCK_METHOD(leaf::result<uint64_t>,
              Put,
              (const std::string&, const std::string&, uint64_t, const std::optional<std::string>&),
              (override));
  MOCK_METHOD(leaf::result<void>, Delete, (const std::string&, uint64_t), (override));
  MOCK_METHOD(leaf::result<KeyValueRange>, Range, (const std::string&), (override));
  MOCK_METHOD(leaf::result<KeyValueChanges>,
              Watch,
              (const std::string&, uint64_t, std::chrono::milliseconds),
              (override));
  MOCK_METHOD(leaf::result<std::string>, GrantLease, (std::chrono::milliseconds), (override));
  MOCK_METHOD(leaf::result<void>, RenewLease, (const std::string&), (override));
  MOCK_METHOD(leaf::result<void>, RevokeLease, (const std::string&), (override));
};

// Guards against an edit that is applied twice. It could happen if the response to the write is
// lost and another writer comes next, so that the document's latest change id is another one.
TEST(FleetWriter, LostResponseIsDetectedAfterAnotherWrite)
{
  testing::NiceMock<MockStore> store;
  FleetMap document;
  document.BeginWrite("e2", "first");
  uint64_t version = 1;
  ON_CALL(store, Get).WillByDefault([&](const std::string& aKey) -> leaf::result<KeyValueItem> {
    return KeyValueItem{ aKey, document.Serialize(), version };
  });
  ON_CALL(store, Put)
    .WillByDefault([&](const std::string&,
                       const std::string& aValue,
                       uint64_t,
                       const std::optional<std::string>&) -> leaf::result<uint64_t> {
      document = FleetMap::Parse(aValue).value();
      document.BeginWrite("e2", "second");
      version += 2;
      return leaf::new_error(StoreError{ StoreError::Code::OutcomeUnknown, "lost" });
    });
  FleetWriter writer(store, "config/fleet", "e1", "p1");
  int edits = 0;
  const auto edit = [&](FleetMap&) {
    ++edits;
    return true;
  };
  EXPECT_TRUE(writer.Apply(edit, 0));
  EXPECT_EQ(edits, 1);
  EXPECT_EQ(document.revision_, 3U);
}

}
}
