#pragma once

#include "sardinespoke/job.h"

namespace sardinespoke {

/// Capacity of a host.
constexpr Resources kHost{ 16000, 65536, 0 };

inline std::string
JobId(unsigned int aNumber)
{
  std::string digits = std::to_string(aNumber);
  return std::string(16 - digits.size(), '0') + digits;
}

inline StepSpec
Tasks(uint32_t aCount, std::chrono::milliseconds aEstimate = std::chrono::milliseconds(1000))
{
  StepSpec step;
  step.taskCount_ = aCount;
  step.cpuMilli_ = 1000;
  step.memoryMb_ = 1000;
  step.estimate_ = aEstimate;
  return step;
}

}
