#include "sardinespoke/daemon.h"
#include "sardinespoke/gateway_error.h"
#include "sardinespoke/logging.h"

#include <nlohmann/json.hpp>
#include <popt.h>

#include <array>
#include <csignal>
#include <fstream>
#include <iostream>
#include <memory>
#include <sstream>

namespace {

using sardinespoke::ConfigError;
using sardinespoke::Daemon;
using sardinespoke::GatewayError;
using sardinespoke::PeerError;
using sardinespoke::Settings;
namespace leaf = sardinespoke::leaf;

/// Exit codes of the daemon.
enum class DaemonExit
{
  Stopped = 0,
  Usage = 1,
  Settings = 2,    ///< The settings file is invalid.
  Start = 3,       ///< An address is in use or cannot be bound.
  RequestsCut = 4, ///< The stop limit passed before all requests were answered.
  Count
};

bool
ReadFile(const char* aPath, std::string& aText)
{
  std::ifstream file(aPath, std::ios::binary);
  std::ostringstream content;
  content << file.rdbuf();
  aText = content.str();
  return static_cast<bool>(file);
}

/// Blocks until a stop signal arrives. All threads block these signals, so that only this call
/// receives them.
void
WaitForStop(const sigset_t& aSignals)
{
  int signal = 0;
  sigwait(&aSignals, &signal);
}

DaemonExit
Run(const std::string& aFile, const Settings& aSettings, const sigset_t& aSignals)
{
  Daemon daemon(aSettings);
  const bool started = leaf::try_handle_all(
    [&]() -> leaf::result<bool> {
      BOOST_LEAF_CHECK(daemon.Init());
      return true;
    },
    [&](const ConfigError& aError) {
      std::cerr << aFile << ": " << aError.path_ << ": " << aError.message_ << '\n';
      return false;
    },
    [&](const GatewayError& aError) {
      std::cerr << aFile << ": /caller: " << aError.message_ << '\n';
      return false;
    },
    [&](const PeerError& aError) {
      std::cerr << aFile << ": /peer: " << aError.message_ << '\n';
      return false;
    },
    [&]() {
      std::cerr << aFile << ": the daemon cannot start\n";
      return false;
    });
  if (!started) {
    return DaemonExit::Start;
  }
  WaitForStop(aSignals);
  return daemon.Shutdown() ? DaemonExit::Stopped : DaemonExit::RequestsCut;
}

DaemonExit
RunFile(const std::string& aFile, bool aCheckOnly, const sigset_t& aSignals)
{
  std::string text;
  if (!ReadFile(aFile.c_str(), text)) {
    std::cerr << aFile << ": cannot be read\n";
    return DaemonExit::Usage;
  }
  return leaf::try_handle_all(
    [&]() -> leaf::result<DaemonExit> {
      BOOST_LEAF_AUTO(settings, Settings::Parse(text));
      if (aCheckOnly) {
        std::cout << aFile << ": valid\n";
        return DaemonExit::Stopped;
      }
      sardinespoke::InitLogging(settings.id_, settings.logLevel_);
      const auto result = Run(aFile, settings, aSignals);
      sardinespoke::ShutdownLogging();
      return result;
    },
    [&](const ConfigError& aError) {
      std::cerr << aFile << ": " << aError.path_ << ": " << aError.message_ << '\n';
      return DaemonExit::Settings;
    },
    [&]() {
      std::cerr << aFile << ": cannot be used\n";
      return DaemonExit::Settings;
    });
}

}

int
main(int aCount, const char** aArguments)
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);

  char* settingsFile = nullptr;
  int checkOnly = 0;
  const std::array<poptOption, 4> table{ {
    { "settings", 's', POPT_ARG_STRING, &settingsFile, 0, "settings file (JSON)", "FILE" },
    { "check", 'c', POPT_ARG_NONE, &checkOnly, 0, "check the settings and exit", nullptr },
    POPT_AUTOHELP POPT_TABLEEND,
  } };
  const std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> context(
    poptGetContext("sardinespoked", aCount, aArguments, table.data(), 0), &poptFreeContext);
  const int result = poptGetNextOpt(context.get());
  if (result < -1) {
    std::cerr << poptBadOption(context.get(), 0) << ": " << poptStrerror(result) << '\n';
    return static_cast<int>(DaemonExit::Usage);
  }
  if (settingsFile == nullptr) {
    std::cerr << "no settings file; see sardinespoked --help\n";
    return static_cast<int>(DaemonExit::Usage);
  }
  return static_cast<int>(RunFile(settingsFile, checkOnly != 0, signals));
}
