#pragma once

namespace sardinespoke {

/// Exit codes of sardinespokectl; documented in its help and in docs/profiles.md.
enum class ExitCode
{
  Done = 0,
  Usage = 1,
  Refused = 2,        ///< The edit or file is invalid; nothing changed.
  Conflict = 3,       ///< Another change was accepted first; nothing changed.
  TimedOut = 4,       ///< Accepted, but not in force on every entry host within the time.
  Unreachable = 5,    ///< No daemon, or no store, could be reached; nothing changed.
  OutcomeUnknown = 6, ///< The edit may or may not have been accepted.
  Count
};

}
