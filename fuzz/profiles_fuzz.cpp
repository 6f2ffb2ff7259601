#include "fuzz_input.h"
#include "sardinespoke/profile_set.h"

// NOLINTNEXTLINE(readability-identifier-naming): name that libFuzzer calls.
extern "C" int
LLVMFuzzerTestOneInput(const uint8_t* aData, size_t aSize)
{
  using namespace sardinespoke;
  // The limit of the fleet is a property of the deployment, not of the input.
  constexpr uint64_t kFleetSlots = 400;
  const auto set = ValueOf([&]() { return ProfileSet::Parse(TextOf(aData, aSize), kFleetSlots); });
  if (set) {
    const auto again = ValueOf([&]() { return ProfileSet::Parse(set->Serialize(), kFleetSlots); });
    Require(again == set);
  }
  return 0;
}
