#pragma once

#include <chrono>
#include <cstdint>
#include <random>
#include <string>

namespace sardinespoke {

/// How load and run times of a deployment vary.
struct LoadShape
{
  std::string name_;
  std::chrono::milliseconds burst_{ 0 }; ///< Each service in turn bursts for this time; 0 = flat.
  double burstFactor_ = 1;               ///< Of the mean rate, during the burst.
  double quietFactor_ = 1;               ///< Of the mean rate, in between.
  double longShare_ = 0;                 ///< Share of requests with a long run time.
  double longFactor_ = 1;                ///< Long run time over the mean run time.

  /// @returns Factor on the mean rate of a service at a time since the start.
  double RateFactor(std::chrono::microseconds aSinceStart,
                    uint32_t aService,
                    uint32_t aServices) const;

  /// @returns A run time around the mean.
  std::chrono::milliseconds RunTime(std::chrono::milliseconds aMean,
                                    std::mt19937_64& aRandom) const;
};

/// @param aName "flat", "inyana" or "atlas".
/// @returns The shape; its name is empty if there is none of that name.
LoadShape
FindLoadShape(const std::string& aName);

}
