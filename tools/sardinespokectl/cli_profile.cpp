#include "cli.h"

#include "json_document_p.h"
#include "sardinespoke/profile_set.h"

#include <fstream>
#include <iomanip>
#include <iostream>
#include <random>
#include <set>
#include <sstream>
#include <thread>

namespace sardinespoke {

namespace {

constexpr std::chrono::milliseconds kPollInterval{ 100 };
constexpr long kOk = 200;

bool
ReadFile(const std::string& aPath, std::string& aText)
{
  std::ifstream file(aPath, std::ios::binary);
  if (!file) {
    return false;
  }
  std::ostringstream content;
  content << file.rdbuf();
  aText = content.str();
  return true;
}

/// A document has the key "profiles"; anything else is taken as a single profile.
bool
IsDocument(const nlohmann::json& aContent)
{
  return aContent.is_object() && aContent.contains("profiles");
}

/// @returns The profile without the fields that "profile get NAME" adds for "profile apply".
nlohmann::json
ProfileOnly(nlohmann::json aContent)
{
  aContent.erase("name");
  aContent.erase("revision");
  return aContent;
}

std::string
RandomChangeId()
{
  std::random_device source;
  std::ostringstream id;
  constexpr int kWords = 4;
  constexpr int kHexDigits = 8;
  for (int word = 0; word < kWords; ++word) {
    id << std::hex << std::setw(kHexDigits) << std::setfill('0') << source();
  }
  return id.str();
}

/// Checks a whole document, or only the JSON of a single profile, and prints the first error.
bool
PrintIfInvalid(const std::string& aFile, const std::string& aText, bool aDocument)
{
  return leaf::try_handle_all(
    [&]() -> leaf::result<bool> {
      if (aDocument) {
        BOOST_LEAF_CHECK(ProfileSet::Parse(aText, 0));
      } else {
        // A key that occurs twice would be lost when the profile is written out again.
        BOOST_LEAF_CHECK(ParseStrict(aText, ""));
      }
      return false;
    },
    [&](const ConfigError& aError) {
      std::cerr << aFile << ": " << aError.path_ << ": " << aError.message_ << '\n';
      return true;
    },
    [&]() {
      std::cerr << aFile << ": cannot be checked\n";
      return true;
    });
}

}

ExitCode
Cli::ProfileValidate(const Arguments& aArguments)
{
  std::string text;
  if (!ReadFile(aArguments[0], text)) {
    std::cerr << aArguments[0] << ": cannot be read\n";
    return ExitCode::Usage;
  }
  if (PrintIfInvalid(aArguments[0], text, true)) {
    return ExitCode::Refused;
  }
  std::cout << aArguments[0] << ": valid\n";
  return ExitCode::Done;
}

ExitCode
Cli::ProfileApply(const Arguments& aArguments)
{
  std::string text;
  if (!ReadFile(aArguments[0], text)) {
    std::cerr << aArguments[0] << ": cannot be read\n";
    return ExitCode::Usage;
  }
  const auto content = nlohmann::json::parse(text, nullptr, false);
  const bool document = IsDocument(content);
  // A single profile can only be checked together with the rest of the document, by the daemon.
  if (PrintIfInvalid(aArguments[0], text, document || !content.is_object())) {
    return ExitCode::Refused;
  }

  const auto changeId = options_.changeId_.empty() ? RandomChangeId() : options_.changeId_;
  auto path = std::string("/v1/profiles");
  if (!document) {
    const auto name = content.value("name", nlohmann::json());
    if (!name.is_string() || name.get<std::string>().empty()) {
      std::cerr << aArguments[0] << ": /name: found no text; expected the name of the profile\n";
      return ExitCode::Refused;
    }
    path += "/" + UrlEncode(name.get<std::string>());
    text = ProfileOnly(content).dump();
  }
  path += EditQuery(changeId, BaseRevision(content));
  return FinishEdit(client_.Call("PUT", path, text), changeId);
}

ExitCode
Cli::ProfileDelete(const Arguments& aArguments)
{
  const auto changeId = options_.changeId_.empty() ? RandomChangeId() : options_.changeId_;
  const auto path =
    "/v1/profiles/" + UrlEncode(aArguments[0]) + EditQuery(changeId, BaseRevision({}));
  return FinishEdit(client_.Call("DELETE", path), changeId);
}

std::string
Cli::EditQuery(const std::string& aChangeId, uint64_t aBaseRevision) const
{
  return "?change_id=" + UrlEncode(aChangeId) + "&author=" + UrlEncode(options_.author_) +
         "&base_revision=" + std::to_string(aBaseRevision);
}

ExitCode
Cli::FinishEdit(const AdminAnswer& aAnswer, const std::string& aChangeId) const
{
  if (aAnswer.status_ == 0 && aAnswer.sent_) {
    std::cerr << "no daemon answered; the change may have been accepted. Repeat the command with "
                 "--change-id "
              << aChangeId << " to find out\n";
    return ExitCode::OutcomeUnknown;
  }
  if (aAnswer.status_ != kOk) {
    return Fail(aAnswer);
  }
  const auto revision = aAnswer.body_.value("revision", uint64_t{ 0 });
  if (options_.json_ && options_.noWait_) {
    std::cout << aAnswer.text_ << '\n';
  }
  if (!options_.json_) {
    std::cout << "accepted as revision " << revision << " (change " << aChangeId << ")\n";
  }
  return options_.noWait_ ? ExitCode::Done : WaitInForce(revision);
}

uint64_t
Cli::BaseRevision(const nlohmann::json& aContent) const
{
  if (options_.baseRevision_ != 0) {
    return options_.baseRevision_;
  }
  // A document written by "profile get" carries the revision that the operator edited.
  const auto revision = aContent.is_object() ? aContent.find("revision") : aContent.end();
  if (revision != aContent.end() && revision->is_number_unsigned()) {
    return revision->get<uint64_t>();
  }
  const auto status = client_.Call("GET", "/v1/status");
  return status.body_.is_object() ? status.body_.value("profiles_revision", uint64_t{ 0 }) : 0;
}

ExitCode
Cli::WaitInForce(uint64_t aRevision) const
{
  const auto start = std::chrono::steady_clock::now();
  const auto deadline = start + options_.timeout_;
  std::set<std::string> missing;
  std::set<std::string> reached;
  size_t printed = 0;
  for (;;) {
    missing.clear();
    const auto status = client_.Call("GET", "/v1/status");
    const bool known = status.status_ == kOk && status.body_.is_object();
    const auto hosts =
      known ? status.body_.value("entry_hosts", nlohmann::json::array()) : nlohmann::json::array();
    for (const auto& host : hosts) {
      const auto id = host.value("id", std::string());
      if (reached.contains(id)) {
        continue;
      }
      const auto own = client_.CallOne(host.value("admin", std::string()), "GET", "/v1/status");
      const bool inForce = own.status_ == kOk && own.body_.is_object() &&
                           own.body_.value("profiles_revision", uint64_t{ 0 }) >= aRevision;
      (inForce ? reached : missing).insert(id);
    }
    const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - start;
    if (!options_.json_ && reached.size() != printed) {
      std::cout << "in force on " << reached.size() << " of " << reached.size() + missing.size()
                << " entry hosts after " << std::fixed << std::setprecision(2) << elapsed.count()
                << " s\n";
      printed = reached.size();
    }
    const bool everywhere = known && missing.empty() && !reached.empty();
    if (everywhere || std::chrono::steady_clock::now() >= deadline) {
      if (options_.json_) {
        std::cout << nlohmann::json{
          { "revision", aRevision },
          { "in_force", reached },
          { "missing", missing },
          { "seconds", elapsed.count() }
        }.dump() << '\n';
      }
      if (everywhere) {
        return ExitCode::Done;
      }
      for (const auto& id : missing) {
        std::cerr << "not in force on " << id << '\n';
      }
      return ExitCode::TimedOut;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
}

ExitCode
Cli::ProfileGet(const Arguments& aArguments)
{
  AdminAnswer answer;
  ExitCode code = ExitCode::Done;
  if (!Read("/v1/profiles", answer, code)) {
    return code;
  }
  const int indent = options_.json_ ? -1 : 2;
  if (aArguments.empty()) {
    std::cout << answer.body_.dump(indent) << '\n';
    return ExitCode::Done;
  }
  const auto profiles = answer.body_.value("profiles", nlohmann::json::object());
  const auto found = profiles.find(aArguments[0]);
  if (found == profiles.end()) {
    std::cerr << "profile \"" << aArguments[0] << "\" does not exist\n";
    return ExitCode::Refused;
  }
  // "profile apply" needs the name, and the revision to notice a change made meanwhile.
  auto profile = *found;
  profile["name"] = aArguments[0];
  profile["revision"] = answer.body_.value("revision", uint64_t{ 0 });
  std::cout << profile.dump(indent) << '\n';
  return ExitCode::Done;
}

ExitCode
Cli::ProfileList(const Arguments& /*aArguments*/)
{
  AdminAnswer answer;
  ExitCode code = ExitCode::Done;
  if (!Read("/v1/profiles", answer, code)) {
    return code;
  }
  const auto profiles = answer.body_.value("profiles", nlohmann::json::object());
  if (options_.json_) {
    std::cout << profiles.dump() << '\n';
    return ExitCode::Done;
  }
  constexpr int kNameWidth = 20;
  constexpr int kNumberWidth = 10;
  std::cout << std::left << std::setw(kNameWidth) << "PROFILE" << std::setw(kNameWidth) << "TEAM"
            << std::setw(kNumberWidth) << "ENTITLED" << std::setw(kNumberWidth) << "MAX"
            << "URGENCY\n";
  for (const auto& [name, profile] : profiles.items()) {
    std::cout << std::left << std::setw(kNameWidth) << name << std::setw(kNameWidth)
              << profile.value("team", std::string()) << std::setw(kNumberWidth)
              << profile.value("entitled_slots", 0) << std::setw(kNumberWidth)
              << profile.value("max_slots", 0) << profile.value("urgency", std::string()) << '\n';
  }
  return ExitCode::Done;
}

namespace {

void
PrintChange(const nlohmann::json& aChange, bool aJson)
{
  if (aJson) {
    std::cout << aChange.dump() << std::endl;
    return;
  }
  std::cout << aChange.value("revision", uint64_t{ 0 }) << "  "
            << aChange.value("accepted_at", std::string()) << "  "
            << aChange.value("author", std::string()) << "  "
            << aChange.value("summary", std::string()) << "  ("
            << aChange.value("change_id", std::string()) << ")" << std::endl;
}

}

ExitCode
Cli::ProfileHistory(const Arguments& /*aArguments*/)
{
  AdminAnswer answer;
  ExitCode code = ExitCode::Done;
  if (!Read("/v1/history", answer, code)) {
    return code;
  }
  for (const auto& change : answer.body_.value("history", nlohmann::json::array())) {
    PrintChange(change, options_.json_);
  }
  return ExitCode::Done;
}

ExitCode
Cli::ProfileWatch(const Arguments& /*aArguments*/)
{
  const auto deadline = std::chrono::steady_clock::now() + options_.timeout_;
  uint64_t seen = 0;
  bool first = true;
  while (std::chrono::steady_clock::now() < deadline) {
    const auto answer = client_.Call("GET", "/v1/history");
    if (answer.status_ != kOk || !answer.body_.is_object()) {
      return Fail(answer);
    }
    for (const auto& change : answer.body_.value("history", nlohmann::json::array())) {
      const auto revision = change.value("revision", uint64_t{ 0 });
      if (revision <= seen) {
        continue;
      }
      seen = revision;
      if (!first) {
        PrintChange(change, options_.json_);
      }
    }
    first = false;
    std::this_thread::sleep_for(kPollInterval);
  }
  return ExitCode::Done;
}

}
