#include "sardinespoke/store_answers.h"

#include <algorithm>

namespace sardinespoke {

namespace {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;

// The store counts as unavailable after this long without an answer to any transaction.
constexpr milliseconds kStallLimit{ 500 };
constexpr milliseconds kShortestRepeat{ 50 };
constexpr milliseconds kLongestRepeat{ 700 };
// An answer is overdue after this many times the usual time and its deviation.
constexpr int kUsualTimes = 2;
constexpr int kDeviations = 4;
// Weights of the latest answer, as in the retransmission timer of TCP (RFC 6298).
constexpr int kUsualWeight = 8;
constexpr int kDeviationWeight = 4;

}

void
StoreAnswers::Sent(TimePoint aNow)
{
  if (!waiting_) {
    quietSince_ = aNow;
  }
  waiting_ = true;
}

void
StoreAnswers::Answered(TimePoint aNow, nanoseconds aTook)
{
  quietSince_ = aNow;
  const nanoseconds error = aTook - usual_;
  usual_ += error / kUsualWeight;
  deviation_ += (std::chrono::abs(error) - deviation_) / kDeviationWeight;
}

nanoseconds
StoreAnswers::RepeatDelay(size_t aCopies) const
{
  nanoseconds delay =
    std::max<nanoseconds>(kShortestRepeat, kUsualTimes * usual_ + kDeviations * deviation_);
  for (size_t copy = 1; copy < aCopies && delay < kLongestRepeat; ++copy) {
    delay += delay / 2;
  }
  return std::min<nanoseconds>(delay, kLongestRepeat);
}

TimePoint
StoreAnswers::StallsAt() const
{
  return quietSince_ + kStallLimit;
}

}
