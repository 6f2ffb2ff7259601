#include "sardinespoke/log_queue.h"
#include "sardinespoke/logging.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <csignal>
#include <fcntl.h>
#include <sstream>
#include <unistd.h>
#include <vector>

namespace sardinespoke {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

/// Logging into a pipe.
class LogReaderTest : public testing::Test
{
protected:
  void SetUp() override
  {
    std::array<int, 2> ends{};
    ASSERT_EQ(pipe2(ends.data(), O_CLOEXEC), 0);
    reader_ = ends[0];
    writer_ = ends[1];
    InitLoggingTo(writer_, "entry", "info");
  }

  void TearDown() override
  {
    static const int kNowhere = open("/dev/null", O_WRONLY | O_CLOEXEC);
    InitLoggingTo(kNowhere, "entry", "error");
    close(reader_);
    close(writer_);
  }

  /// Logs lines.
  /// @returns The longest times of a call first.
  static std::vector<microseconds> Write(size_t aLines)
  {
    std::vector<microseconds> times;
    for (size_t line = 0; line < aLines; ++line) {
      const auto begin = std::chrono::steady_clock::now();
      Log(LogLevel::Info, "job.submitted", { { "line", line }, { "text", std::string(100, 'x') } });
      times.push_back(
        std::chrono::duration_cast<microseconds>(std::chrono::steady_clock::now() - begin));
    }
    std::sort(times.rbegin(), times.rend());
    return times;
  }

  /// Reads all lines that are there.
  std::vector<nlohmann::json> Read()
  {
    fcntl(reader_, F_SETFL, O_NONBLOCK);
    std::string text;
    std::array<char, 65536> buffer{};
    for (ssize_t count = 1; count > 0;) {
      count = read(reader_, buffer.data(), buffer.size());
      text.append(buffer.data(), static_cast<size_t>(std::max<ssize_t>(count, 0)));
      if (count <= 0) {
        FlushLog();
        count = read(reader_, buffer.data(), buffer.size());
        text.append(buffer.data(), static_cast<size_t>(std::max<ssize_t>(count, 0)));
      }
    }
    std::vector<nlohmann::json> lines;
    std::istringstream stream(text);
    for (std::string line; std::getline(stream, line);) {
      lines.push_back(nlohmann::json::parse(line));
    }
    return lines;
  }

  int reader_ = -1;
  int writer_ = -1;
};

// A reader that stops must not hold up the process. Fault: all threads of an entry host stood still
// in their next log line.
TEST_F(LogReaderTest, StoppedReaderHoldsNothingUp)
{
  constexpr size_t kLines = 20000;
  const std::vector<microseconds> times = Write(kLines);
  // A reader that has not come back for 20,000 lines; a leader may be paused for 300 ms at most.
  EXPECT_LT(times.front(), milliseconds(300));
  EXPECT_GT(DroppedLogLines(), kLines / 2);
}

// Every line is either read whole, in order, or counted.
TEST_F(LogReaderTest, DroppedLinesAreCounted)
{
  constexpr size_t kLines = 5000;
  Write(kLines);
  std::vector<nlohmann::json> lines = Read();
  Log(LogLevel::Info, "job.submitted", { { "line", kLines } });
  const std::vector<nlohmann::json> later = Read();
  ASSERT_EQ(later.size(), 2U);
  EXPECT_EQ(later[0].at("event"), "log.lines_dropped");
  EXPECT_EQ(later[0].at("lines").get<size_t>(), kLines - lines.size());
  EXPECT_EQ(later[1].at("line").get<size_t>(), kLines);
  for (size_t index = 0; index < lines.size(); ++index) {
    EXPECT_EQ(lines[index].at("line").get<size_t>(), index);
  }
}

// Lines of start, stop and the leader are not the first to go.
TEST_F(LogReaderTest, ImportantLinesHaveAReserve)
{
  Write(5000);
  Log(LogLevel::Info, "node.stopping", {});
  Log(LogLevel::Warn, "owner.silent", {});
  const std::vector<nlohmann::json> lines = Read();
  const auto has = [&lines](const std::string& aEvent) {
    return std::any_of(lines.begin(), lines.end(), [&](const nlohmann::json& aLine) {
      return aLine.at("event") == aEvent;
    });
  };
  EXPECT_TRUE(has("node.stopping"));
  EXPECT_TRUE(has("owner.silent"));
  EXPECT_TRUE(has("log.lines_dropped"));
}

// A line longer than the pipe takes at once must arrive whole.
TEST_F(LogReaderTest, LongLinesAreNotTorn)
{
  const std::string text(100000, 'y');
  Log(LogLevel::Info, "job.submitted", { { "text", text } });
  const std::vector<nlohmann::json> lines = Read();
  ASSERT_EQ(lines.size(), 1U);
  EXPECT_EQ(lines[0].at("text"), text);
}

// Without a reader, logging must go on without an effect.
TEST_F(LogReaderTest, ClosedReaderIsNoError)
{
  signal(SIGPIPE, SIG_IGN); // As the programs do.
  close(reader_);
  Write(100);
  EXPECT_EQ(DroppedLogLines(), 0U);
  reader_ = open("/dev/null", O_RDONLY | O_CLOEXEC);
}

}
}
