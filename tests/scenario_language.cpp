#include "scenario_language.h"

#include <array>
#include <charconv>
#include <optional>
#include <sstream>

namespace sardinespoke {

namespace {

struct Unit
{
  const char* name_;
  double milliseconds_;
};

constexpr std::array<Unit, 4> kUnits{
  { { "ms", 1 }, { "s", 1000 }, { "min", 60000 }, { "h", 3600000 } }
};

std::vector<std::string>
SplitWords(const std::string& aText)
{
  std::istringstream stream(aText);
  std::vector<std::string> words;
  for (std::string word; stream >> word;) {
    words.push_back(word);
  }
  return words;
}

std::optional<double>
ToNumber(const std::string& aWord)
{
  double value = 0;
  const auto [end, error] = std::from_chars(aWord.data(), aWord.data() + aWord.size(), value);
  if (error != std::errc() || end != aWord.data() + aWord.size() || value < 0) {
    return std::nullopt;
  }
  return value;
}

/// Matches the words of a line against one pattern.
class PatternMatch
{
public:
  PatternMatch(const std::vector<std::string>& aWords, const std::string& aPattern)
    : words_(aWords)
    , pattern_(SplitWords(aPattern))
  {
    matched_ = Match();
  }

  bool matched_ = false;
  size_t matchedWords_ = 0; ///< Number of leading words that matched.
  std::string expected_;    ///< What the first word that did not match should have been.
  std::vector<ScenarioValue> values_;

private:
  bool Match()
  {
    for (const std::string& token : pattern_) {
      expected_ = token;
      if (token == "REST") {
        return MatchRest();
      }
      if (!MatchToken(token)) {
        return false;
      }
    }
    expected_ = "the end of the line";
    return matchedWords_ == words_.size();
  }

  bool MatchToken(const std::string& aToken)
  {
    if (matchedWords_ >= words_.size()) {
      return false;
    }
    const std::string& word = words_[matchedWords_];
    if (aToken == "NAME") {
      values_.push_back({ word, 0, {} });
      ++matchedWords_;
      return true;
    }
    if (aToken == "NUMBER" || aToken == "PERCENT" || aToken == "TIME") {
      return MatchNumber(aToken);
    }
    matchedWords_ += word == aToken ? 1 : 0;
    return word == aToken;
  }

  bool MatchNumber(const std::string& aToken)
  {
    const std::optional<double> number = ToNumber(words_[matchedWords_]);
    if (!number) {
      return false;
    }
    ScenarioValue value{ words_[matchedWords_], *number, {} };
    ++matchedWords_;
    if (aToken != "NUMBER" && !MatchUnit(aToken, value)) {
      return false;
    }
    values_.push_back(value);
    return true;
  }

  bool MatchUnit(const std::string& aToken, ScenarioValue& aValue)
  {
    expected_ = aToken == "PERCENT" ? "%" : "a unit of time (ms, s, min or h)";
    if (matchedWords_ >= words_.size()) {
      return false;
    }
    const std::string& word = words_[matchedWords_];
    for (const Unit& unit : kUnits) {
      if (aToken == "TIME" && word == unit.name_) {
        const auto time = static_cast<int64_t>(aValue.number_ * unit.milliseconds_);
        aValue.time_ = std::chrono::milliseconds(time);
        ++matchedWords_;
        return true;
      }
    }
    matchedWords_ += aToken == "PERCENT" && word == "%" ? 1 : 0;
    return aToken == "PERCENT" && word == "%";
  }

  bool MatchRest()
  {
    std::string rest;
    for (; matchedWords_ < words_.size(); ++matchedWords_) {
      rest += (rest.empty() ? "" : " ") + words_[matchedWords_];
    }
    values_.push_back({ rest, 0, {} });
    return !rest.empty();
  }

  const std::vector<std::string>& words_;
  const std::vector<std::string> pattern_;
};

/// @returns An error that names the pattern with the most matching words.
std::string
ExplainMismatch(const std::vector<std::string>& aWords, const std::vector<std::string>& aPatterns)
{
  std::string best;
  size_t matchedWords = 0;
  for (const std::string& pattern : aPatterns) {
    const PatternMatch match(aWords, pattern);
    if (!best.empty() && match.matchedWords_ <= matchedWords) {
      continue;
    }
    matchedWords = match.matchedWords_;
    best = "expected " + match.expected_ +
           (matchedWords < aWords.size() ? " instead of \"" + aWords[matchedWords] + "\""
                                         : " at the end") +
           ", as in: " + pattern;
  }
  return matchedWords > 0 ? best : "no statement begins with \"" + aWords[0] + "\"";
}

}

ScenarioText
ParseScenario(const std::string& aFile,
              const std::string& aText,
              const std::vector<std::string>& aPatterns)
{
  ScenarioText result;
  std::istringstream lines(aText);
  size_t lineNumber = 0;
  for (std::string line; std::getline(lines, line);) {
    ++lineNumber;
    const std::vector<std::string> words = SplitWords(line.substr(0, line.find('#')));
    if (words.empty()) {
      continue;
    }
    ScenarioStatement statement{ lineNumber, line, aPatterns.size(), {} };
    for (size_t index = 0; index < aPatterns.size(); ++index) {
      PatternMatch match(words, aPatterns[index]);
      if (match.matched_) {
        statement.pattern_ = index;
        statement.values_ = std::move(match.values_);
        break;
      }
    }
    if (statement.pattern_ == aPatterns.size()) {
      result.error_ =
        aFile + ":" + std::to_string(lineNumber) + ": " + ExplainMismatch(words, aPatterns);
      return result;
    }
    result.statements_.push_back(std::move(statement));
  }
  return result;
}

}
