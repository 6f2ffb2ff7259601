#pragma once

#include "run_record.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace sardinespoke {

/// The complete run record of a stand-in.
struct FetchedRecord
{
  std::vector<RunEntry> runs_;
  uint64_t dropped_ = 0;
};

/// Fetches the run record of a BackendServer.
/// @param aControl "ip:port" of its control server.
/// @returns Nothing if the server is unreachable or its response is invalid.
std::optional<FetchedRecord>
FetchRecord(const std::string& aControl);

}
