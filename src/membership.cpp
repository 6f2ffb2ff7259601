#include "sardinespoke/membership.h"

namespace sardinespoke {

std::vector<std::string>
Observers(const FleetMap* aFleet, const EntryRoster& aRoster)
{
  std::vector<std::string> observers;
  if (!aFleet) {
    return observers;
  }
  for (const auto& [id, member] : aFleet->members_) {
    if (observers.size() == kObserverCount) {
      break;
    }
    if (!aRoster.contains(id)) {
      continue;
    }
    observers.push_back(id);
  }
  return observers;
}

bool
SameProcess(const std::string& aIncarnation, const std::string& aProcess)
{
  return aIncarnation.starts_with(aProcess + "-");
}

}
