#pragma once

#include "sardinespoke/profile_set.h"

#include <string>
#include <vector>

namespace sardinespoke {

/// One field in which two documents differ.
struct FieldChange
{
  std::string path_;   ///< Such as /profiles/births/max_slots.
  std::string before_; ///< JSON text, shortened; empty if the field did not exist.
  std::string after_;  ///< JSON text, shortened; empty if the field no longer exists.
};

/// Compares what operators edit: everything except the revision and the history.
/// @returns The changed fields in the order of their paths.
std::vector<FieldChange>
DiffProfileSets(const ProfileSet& aBefore, const ProfileSet& aAfter);

/// @returns Such as "/profiles/births/max_slots 40 -> 48", with at most aMaxFields fields.
std::string
DescribeChanges(const std::vector<FieldChange>& aChanges, size_t aMaxFields);

}
