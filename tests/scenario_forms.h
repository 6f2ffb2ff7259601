#pragma once

#include "scenario_runner.h"

namespace sardinespoke {

/// When a statement takes effect.
enum class FormType
{
  Shape,       ///< Before the world is made.
  Event,       ///< Load, faults and operators; given to the world before it runs.
  Expectation, ///< After the run.
  Count
};

/// One sentence of the language and what it does.
struct ScenarioRunner::Form
{
  const char* text_ = nullptr;
  FormType type_ = FormType::Shape;
  void (ScenarioRunner::*apply_)(const Values&) = nullptr;
  std::string (ScenarioRunner::*check_)(const Values&) = nullptr;
};

}
