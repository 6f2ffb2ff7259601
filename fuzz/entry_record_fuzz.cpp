#include "fuzz_input.h"
#include "sardinespoke/entry_record.h"

// NOLINTNEXTLINE(readability-identifier-naming): name that libFuzzer calls.
extern "C" int
LLVMFuzzerTestOneInput(const uint8_t* aData, size_t aSize)
{
  using namespace sardinespoke;
  const auto record = ValueOf([&]() { return EntryRecord::Parse(TextOf(aData, aSize)); });
  if (record) {
    const auto again = ValueOf([&]() { return EntryRecord::Parse(record->Serialize()); });
    Require(again == record);
  }
  return 0;
}
