#pragma once

#include "run_record.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace sardinespoke {

/// A whole record as read from a stand-in.
struct FetchedRecord
{
  std::vector<RunEntry> runs_;
  uint64_t dropped_ = 0;
};

/// Reads the record of a stand-in for backend servers.
/// @param aControl "ip:port" of its control server.
/// @returns Nothing if it cannot be reached or answers something else.
std::optional<FetchedRecord>
FetchRecord(const std::string& aControl);

}
