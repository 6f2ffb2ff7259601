#include "cli.h"

#include <array>
#include <iomanip>
#include <iostream>
#include <sstream>

namespace sardinespoke {

namespace {

constexpr size_t kHelpColumn = 34;
constexpr std::chrono::seconds kCallTimeout{ 5 };

constexpr std::array<const char*, static_cast<size_t>(ExitCode::Count)> kExitHelp{
  "done",
  "wrong usage",
  "refused: the file or edit is invalid; nothing changed",
  "conflict: another change was accepted first; nothing changed",
  "accepted, but not in force on every entry host in time",
  "no daemon or no store could be reached; nothing changed",
  "unknown: the edit may or may not have been accepted",
};

}

Cli::Cli(CliOptions aOptions)
  : options_(std::move(aOptions))
  , client_(options_.admin_, kCallTimeout)
{
}

const std::vector<Cli::Command>&
Cli::Commands()
{
  static const std::vector<Command> commands{
    { "profile", "validate", "FILE", 1, 1, &Cli::ProfileValidate, "check a file without a daemon" },
    { "profile", "apply", "FILE", 1, 1, &Cli::ProfileApply, "apply a document or one profile" },
    { "profile", "get", "[NAME]", 0, 1, &Cli::ProfileGet, "print the document or one profile" },
    { "profile", "delete", "NAME", 1, 1, &Cli::ProfileDelete, "delete a profile no service picks" },
    { "profile", "list", "", 0, 0, &Cli::ProfileList, "list the profiles" },
    { "profile", "history", "", 0, 0, &Cli::ProfileHistory, "list accepted changes" },
    { "profile", "watch", "", 0, 0, &Cli::ProfileWatch, "print changes as they are accepted" },
    { "status", "", "", 0, 0, &Cli::Status, "entry hosts and the revisions they have in force" },
    { "pool", "", "[NAME]", 0, 1, &Cli::Pool, "hosts of each pool by state" },
    { "host", "return", "ID", 1, 1, &Cli::HostReturn, "return a failed host to service" },
    { "host", "", "[ID]", 0, 1, &Cli::Host, "list the hosts or print one" },
    { "maintenance", "start", "", 0, 0, &Cli::MaintenanceStart, "start a roll-out over all hosts" },
    { "maintenance", "status", "", 0, 0, &Cli::MaintenanceStatus, "progress of the roll-out" },
    { "maintenance", "pause", "", 0, 0, &Cli::MaintenancePause, "start no further drains" },
    { "maintenance", "resume", "", 0, 0, &Cli::MaintenanceResume, "continue a paused roll-out" },
    { "entry", "forget", "ID", 1, 1, &Cli::EntryForget, "declare a lost entry host as stopped" },
    { "timeline", "", "", 0, 0, &Cli::Timeline, "events of all processes in one order" },
  };
  return commands;
}

const Cli::Command*
Cli::Find(const Arguments& aWords, size_t& aUsed)
{
  for (const auto& command : Commands()) {
    const bool single = command.verb_[0] == '\0';
    if (aWords.empty() || aWords[0] != command.group_) {
      continue;
    }
    if (!single && (aWords.size() < 2 || aWords[1] != command.verb_)) {
      continue;
    }
    aUsed = single ? 1 : 2;
    return &command;
  }
  return nullptr;
}

std::string
Cli::CommandHelp()
{
  std::ostringstream out;
  out << "Commands:\n";
  for (const auto& command : Commands()) {
    std::string words = command.group_;
    for (const char* part : { command.verb_, command.arguments_ }) {
      if (part[0] != '\0') {
        words += std::string(" ") + part;
      }
    }
    out << "  " << std::left << std::setw(kHelpColumn) << words << command.help_ << '\n';
  }
  out << "\nExit codes:\n";
  for (size_t code = 0; code < kExitHelp.size(); ++code) {
    out << "  " << code << "  " << kExitHelp[code] << '\n';
  }
  return out.str();
}

ExitCode
Cli::Run(const Arguments& aWords)
{
  size_t used = 0;
  const auto* command = Find(aWords, used);
  if (command == nullptr) {
    std::cerr << "unknown command";
    for (const auto& word : aWords) {
      std::cerr << ' ' << word;
    }
    std::cerr << "; see sardinespokectl --help\n";
    return ExitCode::Usage;
  }
  const Arguments rest(aWords.begin() + static_cast<std::ptrdiff_t>(used), aWords.end());
  if (rest.size() < command->minArguments_ || rest.size() > command->maxArguments_) {
    std::cerr << "usage: sardinespokectl " << command->group_ << ' ' << command->verb_ << ' '
              << command->arguments_ << '\n';
    return ExitCode::Usage;
  }
  return (this->*command->method_)(rest);
}

ExitCode
Cli::Fail(const AdminAnswer& aAnswer) const
{
  constexpr long kBadRequest = 400;
  constexpr long kNotFound = 404;
  constexpr long kConflict = 409;
  constexpr long kUnavailable = 503;
  if (aAnswer.status_ == 0) {
    std::cerr << "no daemon answered at";
    for (const auto& address : options_.admin_) {
      std::cerr << ' ' << address;
    }
    std::cerr << '\n';
    return ExitCode::Unreachable;
  }
  if (options_.json_) {
    std::cout << aAnswer.text_ << '\n';
  } else if (aAnswer.body_.is_object()) {
    const auto field = aAnswer.body_.value("field", std::string());
    std::cerr << aAnswer.body_.value("error", std::string("error")) << ": "
              << (field.empty() ? "" : field + ": ")
              << aAnswer.body_.value("message", std::string()) << '\n';
  } else {
    std::cerr << "the daemon answered with status " << aAnswer.status_ << '\n';
  }
  switch (aAnswer.status_) {
    case kBadRequest:
    case kNotFound:
      return ExitCode::Refused;
    case kConflict:
      return ExitCode::Conflict;
    case kUnavailable:
      return ExitCode::Unreachable;
    default:
      return ExitCode::OutcomeUnknown;
  }
}

bool
Cli::Read(const std::string& aPath, AdminAnswer& aAnswer, ExitCode& aCode) const
{
  constexpr long kOk = 200;
  aAnswer = client_.Call("GET", aPath);
  if (aAnswer.status_ == kOk && !aAnswer.body_.is_discarded()) {
    return true;
  }
  aCode = Fail(aAnswer);
  return false;
}

}
