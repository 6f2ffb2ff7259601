#include "fuzz_input.h"
#include "sardinespoke/fleet_map.h"

// NOLINTNEXTLINE(readability-identifier-naming): name that libFuzzer calls.
extern "C" int
LLVMFuzzerTestOneInput(const uint8_t* aData, size_t aSize)
{
  using namespace sardinespoke;
  const auto fleet = ValueOf([&]() { return FleetMap::Parse(TextOf(aData, aSize)); });
  if (fleet) {
    const auto again = ValueOf([&]() { return FleetMap::Parse(fleet->Serialize()); });
    Require(again == fleet);
  }
  return 0;
}
