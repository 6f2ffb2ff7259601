#pragma once

#include "sardinespoke/planner_core.h"

#include <string>

namespace sardinespoke {

/// The document that a step builds, with the events that explain it.
struct PlannerCore::Draft
{
  explicit Draft(const FleetMap& aFleet)
    : fleet_(aFleet)
  {
  }

  /// Records the event of a transition if the transition was legal.
  /// @returns Whether it was.
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
