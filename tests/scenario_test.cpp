#include "scenario_runner.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <sstream>

namespace sardinespoke {
namespace {

using testing::HasSubstr;

std::string
ReadScenario(const std::string& aName)
{
  std::ifstream file(std::string(SOURCE_DIR) + "/tests/scenarios/" + aName + ".scenario");
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

std::vector<std::string>
ScenarioNames()
{
  std::vector<std::string> names;
  for (const auto& file :
       std::filesystem::directory_iterator(std::string(SOURCE_DIR) + "/tests/scenarios")) {
    if (file.path().extension() == ".scenario") {
      names.push_back(file.path().stem());
    }
  }
  std::sort(names.begin(), names.end());
  return names;
}

std::string
TestName(const testing::TestParamInfo<std::string>& aInfo)
{
  std::string name = aInfo.param;
  std::replace(name.begin(), name.end(), '-', '_');
  return name;
}

class ScenarioTest : public testing::TestWithParam<std::string>
{};

// Fails if a rule of docs/design.md, section 1.3 or 1.4, is violated under the faults of the
// scenario.
TEST_P(ScenarioTest, Holds)
{
  ScenarioRunner runner(GetParam() + ".scenario", ReadScenario(GetParam()));
  ASSERT_EQ(runner.Error(), "");
  const std::vector<ScenarioVerdict> verdicts = runner.Run();
  EXPECT_FALSE(verdicts.empty());
  for (const ScenarioVerdict& verdict : verdicts) {
    EXPECT_EQ(verdict.failure_, "")
      << GetParam() << ".scenario:" << verdict.line_ << ": " << verdict.text_;
  }
}

// Fails if an expectation does not detect the fault that it is meant for.
TEST_P(ScenarioTest, FindsMutants)
{
  ScenarioRunner runner(GetParam() + ".scenario", ReadScenario(GetParam()));
  ASSERT_EQ(runner.Error(), "");
  for (const ScenarioMutantExpectation& mutant : runner.Mutants()) {
    size_t matching = 0;
    for (const ScenarioVerdict& verdict : runner.Run(mutant.name_)) {
      if (verdict.text_ != mutant.text_) {
        continue;
      }
      ++matching;
      EXPECT_NE(verdict.failure_, "") << mutant.name_ << " is not detected by: " << verdict.text_;
    }
    EXPECT_EQ(matching, 1U) << "no statement of the scenario reads: " << mutant.text_;
  }
}

INSTANTIATE_TEST_SUITE_P(, ScenarioTest, testing::ValuesIn(ScenarioNames()), TestName);

struct BadLine
{
  const char* line_;
  const char* error_;
};

// Errors must name the file, the line and what was expected.
TEST(ScenarioErrors, NameFileLineAndExpectation)
{
  const std::vector<BadLine> lines{
    { "at 12 s rack r3 falls", "x:2: expected fails instead of \"falls\"" },
    { "at 12 rack r3 fails", "x:2: expected a unit of time (ms, s, min or h) instead of \"rack\"" },
    { "run for", "x:2: expected TIME at the end" },
    { "hello", "x:2: no statement begins with \"hello\"" },
    { "deployment mars with 6 entry hosts", "x:2: expected deployment inyana or atlas" },
    { "at 1 s rack r77 fails", "x:2: expected a rack" },
    { "with mutant none this fails: a", "x:2: expected one of the mutants" },
  };
  for (const BadLine& bad : lines) {
    const ScenarioRunner runner("x", std::string("run for 1 s # comment\n") + bad.line_);
    EXPECT_THAT(runner.Error(), HasSubstr(bad.error_));
  }
}

}
}
