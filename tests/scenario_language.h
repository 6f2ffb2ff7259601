#pragma once

#include <chrono>
#include <string>
#include <vector>

namespace sardinespoke {

/// The value of one placeholder in a statement.
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
  size_t pattern_ = 0; ///< Index of the pattern that it matched.
  std::vector<ScenarioValue> values_;
};

/// The statements of a scenario file, or the error that stopped the parser.
struct ScenarioText
{
  std::vector<ScenarioStatement> statements_;
  std::string error_; ///< "FILE:LINE: expected ..."; empty on success.
};

/// Parses scenario text. A pattern is a line of text with placeholders: NAME (one word), NUMBER,
/// PERCENT ("99 %"), TIME ("10 s", also ms, min and h) and REST (the rest of the line).
/// @param aFile File name for error messages.
/// @param aPatterns Statement patterns of the language; the first match wins.
ScenarioText
ParseScenario(const std::string& aFile,
              const std::string& aText,
              const std::vector<std::string>& aPatterns);

}
