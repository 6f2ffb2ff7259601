#pragma once

#include <chrono>
#include <cstdint>

namespace sardinespoke {

/// A backend server refuses a start that arrives later than this after it was sent. Longer than the
/// slowest response of a healthy backend server, shorter than the delay of most late commands.
constexpr std::chrono::milliseconds kStartDeadline{ 1500 };

/// Added to a lease for the time that its command was in flight.
constexpr std::chrono::milliseconds kLeaseSlack{ 150 };

/// Shortest time between polls of a backend server, so that one poll reports runs that end
/// together.
constexpr std::chrono::milliseconds kMinPollInterval{ 60 };

/// Time without new work after several failures in a row.
constexpr std::chrono::milliseconds kEjectionTime{ 4000 };

/// Longest delay before a poll without a response is repeated.
constexpr std::chrono::milliseconds kPollRetryMax{ 500 };

/// A command without a response may be carried out this long after it was sent. The platform names
/// no bound but seconds.
constexpr std::chrono::milliseconds kLateCommandLimit{ 15000 };

/// Longest time from a start without a response until its task may start elsewhere, if its backend
/// server is gone. In time for a task that must not be down for more than 9 s.
constexpr std::chrono::milliseconds kHoldLimit{ 7000 };

/// Limit of the processor time of a run that an earlier leader may have set. Differs from all
/// others, so that the present one is sent.
constexpr uint32_t kUnknownCpuPercent = 101;

/// @returns Time between two points in ms, for the log.
inline int64_t
MillisecondsBetween(std::chrono::steady_clock::time_point aFrom,
                    std::chrono::steady_clock::time_point aTo)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aTo - aFrom).count();
}

/// @returns Upper bound of a lease time measured by a backend server whose clock is 2 % slow.
constexpr std::chrono::milliseconds
WithClockDrift(std::chrono::milliseconds aLease)
{
  return aLease * 103 / 100 + kLeaseSlack;
}

}
