#include "caller_request_p.h"
#include "fuzz_input.h"
#include "http_fields_p.h"

#include <sstream>

// NOLINTNEXTLINE(readability-identifier-naming): name that libFuzzer calls.
extern "C" int
LLVMFuzzerTestOneInput(const uint8_t* aData, size_t aSize)
{
  using namespace sardinespoke;
  // First line: method and target; each further line: a header.
  std::istringstream input(TextOf(aData, aSize));
  RawRequest raw;
  std::string line;
  std::getline(input, line);
  const size_t space = line.find(0x20);
  raw.method_ = line.substr(0, space);
  raw.target_ = space == std::string::npos ? "" : line.substr(space + 1);
  while (std::getline(input, line)) {
    const size_t colon = line.find(0x3a);
    const std::string value = colon == std::string::npos ? "" : line.substr(colon + 1);
    raw.headers_.emplace_back(line.substr(0, colon), Trim(value));
  }
  const bool accepted = leaf::try_handle_all(
    [&]() -> leaf::result<bool> {
      BOOST_LEAF_CHECK(CheckLimits(raw, GatewaySettings()));
      return true;
    },
    []() { return false; });
  if (!accepted) {
    return 0;
  }
  const auto request = ValueOf([&]() { return ParseServiceRequest(raw); });
  if (request) {
    Require(!request->service_.empty());
    for (const auto& [name, value] : request->headers_) {
      Require(IsToken(name) && IsFieldValue(value) && !IsHopByHop(name));
    }
  }
  ValueOf([&]() { return ParseIdCount(raw.target_); });
  return 0;
}
