#include "history_checker.h"

#include <gtest/gtest.h>

#include <sstream>

namespace sardinespoke {
namespace {

HistoryLine
Line(HistoryType aType, bool aIdempotent = false, ResponseCheck aAnswer = ResponseCheck::None)
{
  HistoryLine line;
  line.type_ = aType;
  line.nonce_ = "n1";
  line.idempotent_ = aIdempotent;
  line.answer_ = aAnswer;
  return line;
}

RunEntry
RunOf(const std::string& aNonce)
{
  RunEntry run;
  run.nonce_ = aNonce;
  return run;
}

/// @returns The names of the violations found.
std::vector<std::string>
Found(const std::vector<HistoryLine>& aHistory, size_t aRuns, uint64_t aDropped = 0)
{
  const std::vector<RunEntry> runs(aRuns, RunOf("n1"));
  std::vector<std::string> names;
  for (const Violation& violation : CheckHistory(aHistory, runs, aDropped).violations_) {
    names.emplace_back(ViolationName(violation.kind_));
  }
  return names;
}

const HistoryLine kInvoke = Line(HistoryType::Invoke);
const HistoryLine kInvokeIdempotent = Line(HistoryType::Invoke, true);
const HistoryLine kRightAnswer = Line(HistoryType::Ok, false, ResponseCheck::Right);
using Names = std::vector<std::string>;

// Guards against a checker that misses a violation.
TEST(HistoryChecker, FindsEveryKindOfViolation)
{
  EXPECT_EQ(Found({ kInvoke, Line(HistoryType::NotRun) }, 1), Names{ "not-run-but-ran" });
  EXPECT_EQ(Found({ kInvoke, kRightAnswer }, 2), Names{ "ran-twice" });
  EXPECT_EQ(Found({ kInvoke }, 2), Names{ "ran-twice" });
  EXPECT_EQ(Found({ kInvoke, Line(HistoryType::Unknown) }, 2), Names{ "ran-twice" });
  EXPECT_EQ(Found({ kInvoke, Line(HistoryType::Ok, false, ResponseCheck::Wrong) }, 1),
            Names{ "wrong-answer" });
  EXPECT_EQ(Found({ kInvoke, Line(HistoryType::Ok) }, 1), Names{ "wrong-answer" });
  EXPECT_EQ(Found({ kInvoke, kRightAnswer }, 0), Names{ "answered-but-not-run" });
  EXPECT_EQ(Found({ kInvoke, Line(HistoryType::AlreadyRun) }, 0), Names{ "answered-but-not-run" });
  EXPECT_EQ(Found({}, 1), Names{ "run-without-invoke" });
  EXPECT_EQ(Found({ kRightAnswer }, 1), Names{ "bad-history" });
  EXPECT_EQ(Found({ kInvoke, kRightAnswer, kRightAnswer }, 1), Names{ "bad-history" });
  EXPECT_EQ(Found({ kInvoke, kRightAnswer }, 1, 5), Names{ "record-incomplete" });
}

// Guards against a checker that reports a correct history as a violation.
TEST(HistoryChecker, AcceptsCorrectHistories)
{
  EXPECT_EQ(Found({ kInvoke, kRightAnswer }, 1), Names{});
  EXPECT_EQ(Found({ kInvokeIdempotent, kRightAnswer }, 3), Names{});
  EXPECT_EQ(Found({ kInvoke, Line(HistoryType::NotRun) }, 0), Names{});
  EXPECT_EQ(Found({ kInvoke, Line(HistoryType::Unknown) }, 0), Names{});
  EXPECT_EQ(Found({ kInvoke, Line(HistoryType::Unknown) }, 1), Names{});
  EXPECT_EQ(Found({ kInvoke, Line(HistoryType::AlreadyRun) }, 1), Names{});
  EXPECT_EQ(CheckHistory({ kInvoke }, {}, 0).unfinished_, 1U);
}

// Guards against a violation that is lost when a history is written and read back.
TEST(HistoryChecker, HistoryFileRoundTrip)
{
  std::stringstream file;
  HistoryWriter writer(&file);
  writer.Write(kInvoke);
  writer.Write(Line(HistoryType::NotRun));
  EXPECT_EQ(Found(ReadHistory(file), 1), Names{ "not-run-but-ran" });
  std::stringstream broken("{\"type\":\"invoke\"}\n");
  EXPECT_THROW(ReadHistory(broken), nlohmann::json::exception);
}

}
}
