#pragma once

#include "sardinespoke/planner_core.h"

#include <string>

namespace sardinespoke {

/// The document that a step builds, and the events of its changes.
struct PlannerCore::Draft
{
  explicit Draft(const FleetMap& aFleet)
    : fleet_(aFleet)
  {
  }

  /// Adds the event of a transition if the transition succeeded.
  /// @returns Whether it succeeded.
  bool ApplyTransition(const leaf::result<void>& aResult,
                       const std::string& aType,
                       const std::string& aHost,
                       const std::string& aCause)
  {
    if (aResult) {
      AddEvent(aType, aHost, aCause);
    }
    return static_cast<bool>(aResult);
  }

  void AddEvent(const std::string& aType, const std::string& aHost, const std::string& aCause)
  {
    changed_ = true;
    step_.events_.push_back({ aType, aHost, aCause });
  }

  FleetMap fleet_;
  PlannerStep step_;
  bool changed_ = false;
};

}
