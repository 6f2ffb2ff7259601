#pragma once

#include "scenario_language.h"
#include "scenario_world.h"

#include <memory>
#include <string>
#include <vector>

namespace sardinespoke {

/// Result of one expectation.
struct ScenarioVerdict
{
  size_t line_ = 0;
  std::string text_;    ///< As in the file.
  std::string failure_; ///< What was observed instead; empty if the expectation holds.
};

/// A mutant that a scenario must detect, and the expectation that must fail with it.
struct ScenarioMutantExpectation
{
  std::string name_;
  std::string text_;
};

/// Runs a scenario file (docs/scenarios.md).
class ScenarioRunner
{
public:
  /// @param aFile File name for error messages.
  ScenarioRunner(std::string aFile, const std::string& aText);

  /// @returns Why the scenario is invalid; empty if it is valid.
  const std::string& Error() const { return error_; }
  const std::vector<ScenarioMutantExpectation>& Mutants() const { return mutants_; }

  /// @param aMutant A name from Mutants(), or empty.
  std::vector<ScenarioVerdict> Run(const std::string& aMutant = {});

  /// @returns The statement patterns of the language.
  static std::vector<std::string> Patterns();

private:
  using Values = std::vector<ScenarioValue>;
  struct Pattern;
  static const std::vector<Pattern>& PatternTable();

  void ApplyEvents();
  std::unique_ptr<ScenarioWorld> RunWorld(bool aWithFloods);
  void Expect(bool aKnown, const std::string& aExpected);

  void SetDeployment(const Values& aValues);
  void SetSeed(const Values& aValues);
  void SetRebootTime(const Values& aValues);
  void SetAllPlannersLead(const Values& aValues);
  void SetDuration(const Values& aValues);
  void AddMutant(const Values& aValues);

  void SetRunTime(const Values& aValues);
  void LoadAll(const Values& aValues);
  void LoadOne(const Values& aValues);
  void LoadBetween(const Values& aValues);
  void AddLoad(const std::string& aName, ScenarioLoad aLoad);
  void FailRack(const Values& aValues);
  void FailRackFor(const Values& aValues);
  void StoreDown(const Values& aValues);
  void BackUp(const Values& aValues);
  void Restore(const Values& aValues);
  void PauseEntry(const Values& aValues);
  void PausePlanner(const Values& aValues);
  void IsolateEntry(const Values& aValues);
  void IsolateZone(const Values& aValues);
  void ReplaceEntry(const Values& aValues);
  void ReplaceAll(const Values& aValues);
  void MarkHostLeaving(const Values& aValues);
  void FailAllWork(const Values& aValues);
  void FailService(const Values& aValues);
  void Cancel(const Values& aValues);
  void StartRollout(const Values& aValues);
  void RaceEdits(const Values& aValues);
  void EditProfile(const Values& aValues);

  std::string CheckEntitlements(const Values& aValues);
  std::string CheckWaits(const Values& aValues);
  std::string CheckUrgentWaits(const Values& aValues);
  std::string CheckUtilization(const Values& aValues);
  std::string CheckBudgets(const Values& aValues);
  std::string CheckPools(const Values& aValues);
  std::string CheckLeaving(const Values& aValues);
  std::string CheckStops(const Values& aValues);
  std::string CheckRevisions(const Values& aValues);
  std::string CheckChangeDelay(const Values& aValues);
  std::string CheckStoredRevision(const Values& aValues);
  std::string CheckDecidedOnce(const Values& aValues);
  std::string CheckRollout(const Values& aValues);
  std::string CheckMoves(const Values& aValues);
  std::string CheckEdits(const Values& aValues);
  std::string CheckSendsNoWork(const Values& aValues);
  std::string CheckFailing(const Values& aValues);
  std::string CheckMostEjected(const Values& aValues);
  std::string CheckNoneEjected(const Values& aValues);
  std::string CheckCancelled(const Values& aValues);
  std::string Violations(const std::string& aRule) const;

  const std::string file_;
  std::vector<ScenarioStatement> statements_;
  std::string error_;
  ScenarioConfig config_;
  milliseconds duration_{ 0 };
  std::vector<ScenarioMutantExpectation> mutants_;
  std::set<std::string> flooding_;
  bool withFloods_ = true;
  const ScenarioStatement* currentStatement_ = nullptr;
  std::unique_ptr<ScenarioWorld> world_;
};

}
