#pragma once

#include "scenario_language.h"
#include "scenario_world.h"

#include <memory>
#include <string>
#include <vector>

namespace sardinespoke {

/// A statement of what must hold, after a run.
struct ScenarioVerdict
{
  size_t line_ = 0;
  std::string text_;    ///< As in the file.
  std::string failure_; ///< What was seen instead; empty if the statement holds.
};

/// A mutant that a scenario must find, and the statement that has to fail with it.
struct ScenarioMutantLine
{
  std::string name_;
  std::string text_;
};

/// Runs a scenario file (docs/scenarios.md).
class ScenarioRunner
{
public:
  /// @param aFile Name for errors.
  ScenarioRunner(std::string aFile, const std::string& aText);

  /// @returns Why the scenario cannot be run; empty if it can.
  const std::string& Error() const { return error_; }
  const std::vector<ScenarioMutantLine>& Mutants() const { return mutants_; }

  /// @param aMutant A name from Mutants(), or empty.
  std::vector<ScenarioVerdict> Run(const std::string& aMutant = {});

  /// @returns The sentences of the language.
  static std::vector<std::string> Forms();

private:
  using Values = std::vector<ScenarioValue>;
  struct Form;
  static const std::vector<Form>& Table();

  void ApplyEvents();
  std::unique_ptr<ScenarioWorld> RunWorld(bool aWithFloods);
  void Expect(bool aKnown, const std::string& aExpected);

  void SetDeployment(const Values& aValues);
  void SetSeed(const Values& aValues);
  void SetRebootTime(const Values& aValues);
  void SetAllHoldDuty(const Values& aValues);
  void SetDuration(const Values& aValues);
  void AddMutant(const Values& aValues);

  void SetRunTime(const Values& aValues);
  void LoadAll(const Values& aValues);
  void LoadUsual(const Values& aValues);
  void LoadBetween(const Values& aValues);
  void AddLoad(const std::string& aName, ScenarioLoad aLoad);
  void FailRack(const Values& aValues);
  void FailRackFor(const Values& aValues);
  void StoreDown(const Values& aValues);
  void BackUp(const Values& aValues);
  void Restore(const Values& aValues);
  void PauseEntry(const Values& aValues);
  void PausePlanner(const Values& aValues);
  void CutOff(const Values& aValues);
  void SplitZone(const Values& aValues);
  void ReplaceEntry(const Values& aValues);
  void ReplaceAll(const Values& aValues);
  void Leave(const Values& aValues);
  void FailWork(const Values& aValues);
  void Poison(const Values& aValues);
  void Cancel(const Values& aValues);
  void StartRollout(const Values& aValues);
  void RaceEdits(const Values& aValues);
  void EditProfile(const Values& aValues);

  std::string CheckEntitlements(const Values& aValues);
  std::string CheckWaits(const Values& aValues);
  std::string CheckUrgent(const Values& aValues);
  std::string CheckBusy(const Values& aValues);
  std::string CheckBudgets(const Values& aValues);
  std::string CheckPools(const Values& aValues);
  std::string CheckLeaving(const Values& aValues);
  std::string CheckStops(const Values& aValues);
  std::string CheckRevisions(const Values& aValues);
  std::string CheckChanges(const Values& aValues);
  std::string CheckStored(const Values& aValues);
  std::string CheckDecided(const Values& aValues);
  std::string CheckRollout(const Values& aValues);
  std::string CheckMoves(const Values& aValues);
  std::string CheckEdits(const Values& aValues);
  std::string CheckSilent(const Values& aValues);
  std::string CheckFailing(const Values& aValues);
  std::string CheckMostRemoved(const Values& aValues);
  std::string CheckNoneRemoved(const Values& aValues);
  std::string CheckCancelled(const Values& aValues);
  std::string Violations(const std::string& aRule) const;

  const std::string file_;
  std::vector<ScenarioStatement> statements_;
  std::string error_;
  ScenarioShape shape_;
  milliseconds duration_{ 0 };
  std::vector<ScenarioMutantLine> mutants_;
  std::set<std::string> flooding_;
  bool withFloods_ = true;
  const ScenarioStatement* current_ = nullptr;
  std::unique_ptr<ScenarioWorld> world_;
};

}
