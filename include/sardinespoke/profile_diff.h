#pragma once

#include "sardinespoke/profile_set.h"

#include <string>
#include <vector>

namespace sardinespoke {

/// One field in which two documents differ.
struct FieldChange
{
  std::string path_;   ///< JSON pointer, such as /profiles/births/max_slots.
  std::string before_; ///< Truncated JSON text; empty if the field did not exist.
  std::string after_;  ///< Truncated JSON text; empty if the field no longer exists.
};

/// Compares everything that operators edit, that is all but the revision and the history.
/// @returns The changed fields, sorted by path.
std::vector<FieldChange>
DiffProfileSets(const ProfileSet& aBefore, const ProfileSet& aAfter);

/// @returns Text such as "/profiles/births/max_slots 40 -> 48", with at most aMaxFields fields.
std::string
DescribeChanges(const std::vector<FieldChange>& aChanges, size_t aMaxFields);

}
