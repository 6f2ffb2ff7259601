#pragma once

namespace sardinespoke {

// Exit codes: 0 done, 1 usage, 2 violations or failed requests, 5 not reachable.
inline constexpr int kDone = 0;
inline constexpr int kUsage = 1;
inline constexpr int kFailed = 2;
inline constexpr int kUnreachable = 5;

/// `sardinespoke-load run`: sends load and prints a summary.
int
RunCommand(int aArgCount, const char** aArgs);

/// `sardinespoke-load check`: compares histories with the workers' record.
int
CheckCommand(int aArgCount, const char** aArgs);

/// `sardinespoke-load bench`: compares an entry host with direct calls.
int
BenchCommand(int aArgCount, const char** aArgs);

}
