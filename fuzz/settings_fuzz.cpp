#include "fuzz_input.h"
#include "sardinespoke/settings.h"

// NOLINTNEXTLINE(readability-identifier-naming): name that libFuzzer calls.
extern "C" int
LLVMFuzzerTestOneInput(const uint8_t* aData, size_t aSize)
{
  using namespace sardinespoke;
  ValueOf([&]() { return Settings::Parse(TextOf(aData, aSize)); });
  return 0;
}
