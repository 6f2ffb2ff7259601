#pragma once

#include "scenario_runner.h"

namespace sardinespoke {

/// When a statement takes effect.
enum class StatementType
{
  Setup,       ///< Before the world is made.
  Event,       ///< Load, faults and operators; given to the world before it runs.
  Expectation, ///< After the run.
  Count
};

/// One sentence of the language and what it does.
struct ScenarioRunner::Pattern
{
  const char* text_ = nullptr;
  StatementType type_ = StatementType::Setup;
  void (ScenarioRunner::*apply_)(const Values&) = nullptr;
  std::string (ScenarioRunner::*check_)(const Values&) = nullptr;
};

}
