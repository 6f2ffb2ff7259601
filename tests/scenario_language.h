#pragma once

#include <chrono>
#include <string>
#include <vector>

namespace sardinespoke {

/// A value of a statement.
struct ScenarioValue
{
  std::string text_;
  double number_ = 0;
  std::chrono::milliseconds time_{ 0 };
};

/// One parsed line of a scenario.
struct ScenarioStatement
{
  size_t line_ = 0;
  std::string text_;
  size_t pattern_ = 0; ///< Index of the form it matched.
  std::vector<ScenarioValue> values_;
};

/// A scenario file that has been read, or the reason why it could not be.
struct ScenarioText
{
  std::vector<ScenarioStatement> statements_;
  std::string error_; ///< "FILE:LINE: what was expected"; empty if there is none.
};

/// Parses scenario text. A form is a sentence with placeholders: NAME (one word), NUMBER, PERCENT
/// ("99 %"), TIME ("10 s", also ms, min and h) and REST (the rest of the line).
/// @param aFile Name of the file for errors.
/// @param aForms Sentences of the language; a line matches the first one that fits.
ScenarioText
ParseScenario(const std::string& aFile,
              const std::string& aText,
              const std::vector<std::string>& aForms);

}
