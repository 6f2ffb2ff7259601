#include "slope.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <ctime>
#include <limits>
#include <malloc.h>
#include <ostream>

namespace sardinespoke {

namespace {

constexpr int kMeasurements = 7;
// Shorter measurements are dominated by the resolution of the processor clock.
constexpr double kShortestMicroseconds = 2000;
constexpr int kMostCalls = 1 << 16;

double
ThreadMicroseconds()
{
  timespec now{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
  return static_cast<double>(now.tv_sec) * 1e6 + static_cast<double>(now.tv_nsec) / 1e3;
}

double
Measure(const std::function<void()>& aCall, int aCalls)
{
  const double start = ThreadMicroseconds();
  for (int call = 0; call < aCalls; ++call) {
    aCall();
  }
  return ThreadMicroseconds() - start;
}

}

SlopeFit
FitLine(const std::vector<std::pair<double, double>>& aPoints)
{
  const double count = static_cast<double>(aPoints.size());
  double meanX = 0;
  double meanY = 0;
  for (const auto& [x, y] : aPoints) {
    meanX += x / count;
    meanY += y / count;
  }
  double covariance = 0;
  double variance = 0;
  for (const auto& [x, y] : aPoints) {
    covariance += (x - meanX) * (y - meanY);
    variance += (x - meanX) * (x - meanX);
  }
  SlopeFit fit;
  fit.slope_ = variance > 0 ? covariance / variance : 0;
  fit.intercept_ = meanY - fit.slope_ * meanX;
  return fit;
}

void
WriteSlope(std::ostream& aOut, const SlopeSeries& aSeries)
{
  const SlopeFit fit = FitLine(aSeries.points_);
  nlohmann::ordered_json points = nlohmann::ordered_json::array();
  nlohmann::ordered_json residuals = nlohmann::ordered_json::array();
  double greatest = 0;
  for (const auto& [x, y] : aSeries.points_) {
    points.push_back({ x, y });
    residuals.push_back(y - (fit.intercept_ + fit.slope_ * x));
    greatest = std::max(greatest, x);
  }
  nlohmann::ordered_json line{ { "measure", aSeries.name_ },
                               { "size", aSeries.size_ },
                               { "unit", aSeries.unit_ },
                               { "slope", fit.slope_ },
                               { "intercept", fit.intercept_ },
                               { "greatest_size", greatest },
                               { "fitted_at_greatest", fit.intercept_ + fit.slope_ * greatest },
                               { "points", points },
                               { "residuals", residuals } };
  if (aSeries.goal_ > 0) {
    line["goal"] = aSeries.goal_;
  }
  aOut << line.dump() << '\n' << std::flush;
}

double
CpuMicroseconds(const std::function<void()>& aCall)
{
  int calls = 1;
  while (calls < kMostCalls && Measure(aCall, calls) < kShortestMicroseconds) {
    calls *= 2;
  }
  double least = std::numeric_limits<double>::max();
  for (int measurement = 0; measurement < kMeasurements; ++measurement) {
    least = std::min(least, Measure(aCall, calls) / calls);
  }
  return least;
}

double
ThreadMicrosecondsOf(const std::function<void()>& aCall)
{
  return Measure(aCall, 1);
}

double
HeapBytes(const std::function<void()>& aCall)
{
  const auto used = []() {
    const auto info = mallinfo2();
    return static_cast<double>(info.uordblks) + static_cast<double>(info.hblkhd);
  };
  const double before = used();
  aCall();
  return used() - before;
}

}
