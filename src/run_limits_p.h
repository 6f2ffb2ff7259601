#pragma once

#include <chrono>

namespace sardinespoke {

/// A start that is carried out later than this after it was sent is refused there. Longer than the
/// slowest answer of a backend server in service, shorter than most delayed orders.
constexpr std::chrono::milliseconds kStartDeadline{ 1500 };

/// Added to a lease for the time that its order was on its way.
constexpr std::chrono::milliseconds kLeaseSlack{ 150 };

/// Pause between looks at one backend server, so that ends that come together cost one look.
constexpr std::chrono::milliseconds kMinPollInterval{ 60 };

/// Longest pause before a look without an answer is tried again.
constexpr std::chrono::milliseconds kPollRetryMax{ 500 };

/// @returns Lease time as it may pass on a clock that is 2 % slow.
constexpr std::chrono::milliseconds
WithClockDrift(std::chrono::milliseconds aLease)
{
  return aLease * 103 / 100 + kLeaseSlack;
}

}
