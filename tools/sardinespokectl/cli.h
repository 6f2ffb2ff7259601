#pragma once

#include "admin_client.h"
#include "exit_codes.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace sardinespoke {

/// Options of the command line.
struct CliOptions
{
  std::vector<std::string> admin_{ "127.0.0.1:8200" };
  bool json_ = false;
  bool noWait_ = false;
  std::chrono::seconds timeout_{ 16 }; ///< Wait until a change is in force everywhere.
  std::string author_;
  std::string changeId_;      ///< Chosen at random if empty.
  uint64_t baseRevision_ = 0; ///< 0 = the revision read before the edit.
  std::string type_;          ///< Filter of the time line: prefix of the event type.
  std::string host_;          ///< Filter of the time line: host or entry host id.
};

/// The commands of sardinespokectl.
class Cli
{
public:
  using Arguments = std::vector<std::string>;
  using Method = ExitCode (Cli::*)(const Arguments&);

  /// One command; the table of all commands is in cli.cpp.
  struct Command
  {
    const char* group_;
    const char* verb_; ///< Empty if the group is a command by itself.
    const char* arguments_;
    size_t minArguments_;
    size_t maxArguments_;
    Method method_;
    const char* help_;
  };

  explicit Cli(CliOptions aOptions);

  /// Runs the command that the words name.
  ExitCode Run(const Arguments& aWords);

  /// @returns The list of commands and exit codes for --help.
  static std::string CommandHelp();

private:
  static const std::vector<Command>& Commands();
  static const Command* Find(const Arguments& aWords, size_t& aUsed);

  ExitCode ProfileValidate(const Arguments& aArguments);
  ExitCode ProfileApply(const Arguments& aArguments);
  ExitCode ProfileDelete(const Arguments& aArguments);
  ExitCode ProfileGet(const Arguments& aArguments);
  ExitCode ProfileList(const Arguments& aArguments);
  ExitCode ProfileHistory(const Arguments& aArguments);
  ExitCode ProfileWatch(const Arguments& aArguments);
  ExitCode Status(const Arguments& aArguments);
  ExitCode Pool(const Arguments& aArguments);
  ExitCode Host(const Arguments& aArguments);
  ExitCode HostReturn(const Arguments& aArguments);
  ExitCode MaintenanceStart(const Arguments& aArguments);
  ExitCode MaintenanceStatus(const Arguments& aArguments);
  ExitCode MaintenancePause(const Arguments& aArguments);
  ExitCode MaintenanceResume(const Arguments& aArguments);
  ExitCode EntryForget(const Arguments& aArguments);
  ExitCode Timeline(const Arguments& aArguments);

  /// Prints an answer that is an error and maps it to an exit code.
  ExitCode Fail(const AdminAnswer& aAnswer) const;

  ExitCode MaintenanceAction(const char* aAction);

  /// @returns The revision that an edit is based on: the option, the file's own, or the current
  /// one.
  uint64_t BaseRevision(const nlohmann::json& aContent) const;

  /// @returns The query of an edit's path.
  std::string EditQuery(const std::string& aChangeId, uint64_t aBaseRevision) const;

  /// Prints the outcome of an edit and waits until it is in force everywhere.
  ExitCode FinishEdit(const AdminAnswer& aAnswer, const std::string& aChangeId) const;

  /// Waits until every live entry host has the revision in force; prints who has not.
  ExitCode WaitInForce(uint64_t aRevision) const;

  /// Reads a document from the daemon; prints the error if there is none.
  bool Read(const std::string& aPath, AdminAnswer& aAnswer, ExitCode& aCode) const;

  CliOptions options_;
  AdminClient client_;
};

}
