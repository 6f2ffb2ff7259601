#pragma once

#include "scenario_runner.h"

namespace sardinespoke {

/// When a statement takes effect.
enum class StatementType
{
  Setup,       ///< Configures the world before it is created.
  Event,       ///< Load, faults and operator actions; scheduled before the run.
  Expectation, ///< Checked after the run.
  Count
};

/// A statement pattern of the language and its handler.
struct ScenarioRunner::Pattern
{
  const char* text_ = nullptr;
  StatementType type_ = StatementType::Setup;
  void (ScenarioRunner::*apply_)(const Values&) = nullptr;
  std::string (ScenarioRunner::*check_)(const Values&) = nullptr;
};

}
