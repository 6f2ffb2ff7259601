#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <string>
#include <vector>

namespace sardinespoke {
namespace {

/// A child process that runs a program of this repository; the destructor terminates it.
class ChildProgram
{
public:
  explicit ChildProgram(std::vector<std::string> aArgs)
  {
    int ends[2];
    if (pipe2(ends, O_CLOEXEC) != 0) {
      std::abort();
    }
    aArgs[0] = std::string(BINARY_DIR) + "/" + aArgs[0];
    std::vector<char*> args;
    args.reserve(aArgs.size() + 1);
    for (std::string& arg : aArgs) {
      args.push_back(arg.data());
    }
    args.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, ends[1], STDOUT_FILENO);
    if (posix_spawn(&pid_, args[0], &actions, nullptr, args.data(), environ) != 0) {
      std::abort();
    }
    posix_spawn_file_actions_destroy(&actions);
    close(ends[1]);
    out_ = ends[0];
  }
  ~ChildProgram()
  {
    if (pid_ > 0) {
      kill(pid_, SIGTERM);
      Wait();
    }
    close(out_);
  }
  ChildProgram(const ChildProgram&) = delete;
  ChildProgram& operator=(const ChildProgram&) = delete;

  std::string ReadLine()
  {
    std::string line;
    char byte = 0;
    while (read(out_, &byte, 1) == 1 && byte != '\n') {
      line += byte;
    }
    return line;
  }
  std::string ReadAll()
  {
    std::string text;
    char chunk[4096];
    for (ssize_t count = 0; (count = read(out_, chunk, sizeof(chunk))) > 0;) {
      text.append(chunk, static_cast<size_t>(count));
    }
    return text;
  }
  int Wait()
  {
    int status = 0;
    waitpid(pid_, &status, 0);
    pid_ = 0;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  }

private:
  pid_t pid_ = 0;
  int out_ = -1;
};

/// Output and exit code of a program that has exited.
struct ProgramResult
{
  std::string out_;
  int code_ = -1;
};

ProgramResult
RunLoadTool(std::vector<std::string> aArgs)
{
  aArgs.insert(aArgs.begin(), "sardinespoke-load");
  ChildProgram program(std::move(aArgs));
  std::string out = program.ReadAll();
  return { std::move(out), program.Wait() };
}

class LoadToolTest : public ::testing::Test
{
protected:
  LoadToolTest()
  {
    const auto started = nlohmann::json::parse(backend_.ReadLine());
    control_ = started.at("control");
    worker_ = started.at("worker");
    entry_ = std::make_unique<ChildProgram>(
      std::vector<std::string>{ "sardinespoke-trivial-entry", "--workers=" + worker_ });
    const auto port = nlohmann::json::parse(entry_->ReadLine()).at("port").get<int>();
    target_ = "127.0.0.1:" + std::to_string(port);
    history_ = ::testing::TempDir() + "load_tool_" + std::to_string(getpid()) + ".jsonl";
  }
  ~LoadToolTest() override { unlink(history_.c_str()); }

  ProgramResult Check()
  {
    return RunLoadTool({ "check", "--history=" + history_, "--record=" + control_ });
  }

  ChildProgram backend_{ { "sardinespoke-backend", "--workers=1" } };
  std::unique_ptr<ChildProgram> entry_;
  std::string control_;
  std::string worker_;
  std::string target_;
  std::string history_;
};

// The summary and the history of a load must agree, and the check must reject a history that
// reports a request as not run although it ran.
TEST_F(LoadToolTest, DetectsFalsifiedHistory)
{
  const ProgramResult run = RunLoadTool({ "run",
                                          "--targets=" + target_,
                                          "--services=births,sales",
                                          "--callers=2",
                                          "--run-ms=1",
                                          "--max-requests=400",
                                          "--non-idempotent=0.5",
                                          "--history=" + history_ });
  ASSERT_EQ(run.code_, 0);
  const auto summary = nlohmann::json::parse(run.out_);
  EXPECT_EQ(summary.at("sent"), 400);
  EXPECT_EQ(summary.at("ok"), 400);
  EXPECT_EQ(summary.at("wrong_answers"), 0);
  const ProgramResult correct = Check();
  EXPECT_EQ(correct.code_, 0) << correct.out_;
  EXPECT_EQ(nlohmann::json::parse(correct.out_).at("runs"), 400);

  std::ifstream in(history_);
  std::string text((std::istreambuf_iterator<char>(in)), std::istreambuf_iterator<char>());
  const std::string ok = R"("type":"ok")";
  text.replace(text.find(ok), ok.size(), R"("type":"not-run")");
  std::ofstream(history_) << text;
  const ProgramResult falsified = Check();
  EXPECT_EQ(falsified.code_, 2);
  EXPECT_NE(falsified.out_.find("not-run-but-ran"), std::string::npos) << falsified.out_;
}

// The bench must report latencies and no failed calls.
TEST_F(LoadToolTest, BenchComparesWithDirectCalls)
{
  const ProgramResult bench = RunLoadTool({ "bench",
                                            "--entry=" + target_,
                                            "--direct=" + worker_,
                                            "--control=" + control_,
                                            "--callers=2",
                                            "--seconds=1" });
  ASSERT_EQ(bench.code_, 0) << bench.out_;
  const auto result = nlohmann::json::parse(bench.out_);
  EXPECT_EQ(result.at("failed"), 0);
  EXPECT_GT(result.at("direct_p50_ms"), 0);
  EXPECT_GE(result.at("connections_per_1000"), 0);
  EXPECT_LT(result.at("connections_per_1000"), 10);
}

// Errors on the command line must not have the exit code of a result.
TEST_F(LoadToolTest, ExitCodesDistinguishErrors)
{
  EXPECT_EQ(RunLoadTool({ "run" }).code_, 1);
  EXPECT_EQ(RunLoadTool({ "run", "--targets=" + target_, "--shape=unheard-of" }).code_, 1);
  EXPECT_EQ(RunLoadTool({ "check", "--history=/nonexistent", "--record=" + control_ }).code_, 1);
  std::ofstream(history_) << "";
  EXPECT_EQ(RunLoadTool({ "check", "--history=" + history_, "--record=127.0.0.1:1" }).code_, 5);
}

}
}
