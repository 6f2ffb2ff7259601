#include "answer_body.h"
#include "backend_server.h"
#include "sardinespoke/curl_backend_link.h"

#include <gtest/gtest.h>

#include <thread>

namespace sardinespoke {
namespace {

using Code = BackendError::Code;

class BackendServerTest : public ::testing::Test
{
protected:
  void SetUp() override { ASSERT_TRUE(server_.Init()); }

  static BackendServerSettings Settings()
  {
    BackendServerSettings settings;
    settings.workers_ = 2;
    settings.slots_ = 1;
    return settings;
  }

  /// @returns The body, or the error's name in angle brackets.
  std::string Call(const std::string& aAddress, const std::string& aPath)
  {
    BackendRequest request;
    request.address_ = aAddress;
    request.method_ = "GET";
    request.path_ = aPath;
    request.headers_ = { { "Sardinespoke-Attempt", "a." + std::to_string(++attempts_) } };
    request.timeout_ = std::chrono::milliseconds(1000);
    return leaf::try_handle_all(
      [&]() -> leaf::result<std::string> {
        BOOST_LEAF_AUTO(answer, link_.Send(request));
        return answer.status_ == 200 ? answer.body_ : std::to_string(answer.status_);
      },
      [](const BackendError& aError) { return "<" + std::string(CodeName(aError.code_)) + ">"; },
      [] { return std::string(); });
  }

  BackendServer server_{ Settings() };
  CurlBackendLink link_{ {} };
  std::atomic<int> attempts_{ 0 };
};

// Guards against a response that a caller cannot verify and a run that is missing in the record.
TEST_F(BackendServerTest, RespondsAndRecordsTheRun)
{
  const std::string body = Call(server_.WorkerAddress(0), "/work?ms=5&bytes=40&nonce=n1");
  EXPECT_EQ(body, MakeResponseBody("n1", 40));
  EXPECT_EQ(body.size(), 40U);
  const std::vector<RunEntry> runs = server_.Record().Runs(0, 10);
  ASSERT_EQ(runs.size(), 1U);
  EXPECT_EQ(runs[0].nonce_, "n1");
  EXPECT_EQ(runs[0].attempt_, "a.1");
  EXPECT_GE(runs[0].endUs_ - runs[0].startUs_, 5000);
  const auto listed = nlohmann::json::parse(Call(server_.ControlAddress(), "/record?from=0"));
  EXPECT_EQ(listed.at("runs").at(0).get<RunEntry>().nonce_, "n1");
  EXPECT_EQ(listed.at("next"), 1);
}

// Guards against a stand-in that runs more requests than it has slots or records a refused one.
TEST_F(BackendServerTest, RefusesWhenAllSlotsAreTaken)
{
  std::thread first([&] { Call(server_.WorkerAddress(0), "/work?ms=300&nonce=n1"); });
  while (server_.Record().Size() == 0) {
    std::this_thread::yield();
  }
  EXPECT_EQ(Call(server_.WorkerAddress(0), "/work?nonce=n2"), "<slots-refused>");
  EXPECT_EQ(Call(server_.WorkerAddress(1), "/work?nonce=n3"), MakeResponseBody("n3", 0));
  first.join();
  EXPECT_EQ(Call(server_.WorkerAddress(0), "/work?nonce=n4"), MakeResponseBody("n4", 0));
  EXPECT_EQ(server_.Record().Size(), 3U);
}

// Guards against a fault that is set but has no effect.
TEST_F(BackendServerTest, InjectsEachFault)
{
  const std::string address = server_.WorkerAddress(0);
  const std::string work = "/work?bytes=50&nonce=n";
  const std::vector<std::pair<BackendFault, std::string>> cases{
    { BackendFault::FailAll, "500" },
    { BackendFault::CloseAfterActing, "<incomplete>" },
    { BackendFault::ShortBody, "<incomplete>" },
    { BackendFault::LateAnswer, "<timeout>" },
    { BackendFault::MixedUp, "<incomplete>" },
    { BackendFault::OutOfOrder, MakeResponseBody("n", 50) },
    { BackendFault::None, MakeResponseBody("n", 50) },
  };
  size_t runs = 0;
  for (const auto& [fault, expected] : cases) {
    ASSERT_TRUE(server_.SetFault(0, fault));
    EXPECT_EQ(Call(address, work), expected) << BackendFaultName(fault);
    EXPECT_EQ(server_.Record().Size(), ++runs) << BackendFaultName(fault);
  }
  EXPECT_EQ(Call(address, "/always-fails"), "500");
  EXPECT_EQ(Call(address, "/work?fail=503"), "503");
}

// Guards against a stopped worker that is still reachable or does not restart.
TEST_F(BackendServerTest, StopsAndRestartsListening)
{
  const std::string address = server_.WorkerAddress(0);
  std::string aborted;
  std::thread caller([&] { aborted = Call(address, "/work?ms=800&nonce=n1"); });
  while (server_.Record().Size() == 0) {
    std::this_thread::yield();
  }
  EXPECT_EQ(Call(server_.ControlAddress(), "/faults?worker=0&fault=down"), R"({"fault":"down"})");
  caller.join();
  EXPECT_EQ(aborted, "<incomplete>");
  EXPECT_EQ(Call(address, "/work"), "<not-sent>");
  EXPECT_EQ(Call(server_.ControlAddress(), "/faults?worker=0&fault=none"), R"({"fault":"none"})");
  EXPECT_EQ(Call(address, "/work?nonce=n2"), MakeResponseBody("n2", 0));
  EXPECT_EQ(Call(server_.ControlAddress(), "/faults?fault=unheard-of"), "400");
}

}
}
