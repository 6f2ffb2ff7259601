#include "backend_server.h"
#include "caller_client.h"
#include "gateway_fakes.h"
#include "history_checker.h"
#include "local_claims.h"
#include "sardinespoke/curl_backend_link.h"
#include "sardinespoke/gateway.h"
#include "sardinespoke/retry_budget.h"
#include "sardinespoke/steady_clock.h"
#include "trivial_dispatcher.h"

#include <gtest/gtest.h>

#include <sstream>
#include <thread>

namespace sardinespoke {
namespace {

constexpr uint32_t kWorkers = 3;
constexpr int kCallers = 6;
constexpr int kRequestsPerCaller = 150;

/// A gateway with its dependencies.
class EntryHost
{
public:
  EntryHost(const std::string& aName,
            const std::vector<std::string>& aWorkers,
            LocalClaims& aClaims)
    : dispatcher_(aWorkers, 8, std::chrono::milliseconds(200))
  {
    GatewaySettings settings;
    settings.listenAddress_ = "127.0.0.1:0";
    settings.attemptPrefix_ = aName;
    gateway_ = std::make_unique<Gateway>(
      settings, clock_, dispatcher_, backends_, aClaims, budget_, events_);
    leaf::try_handle_all([&]() -> leaf::result<void> { return gateway_->Init(); },
                         [] { ADD_FAILURE() << "the gateway did not start"; });
  }

  std::string Address() const { return "127.0.0.1:" + std::to_string(gateway_->Port()); }
  Gateway& Server() { return *gateway_; }

private:
  SteadyClock clock_;
  TrivialDispatcher dispatcher_;
  CurlBackendLink backends_{ {} };
  RetryBudget budget_;
  NullEventLog events_;
  std::unique_ptr<Gateway> gateway_;
};

/// Two entry hosts, three workers, and callers that use both entry hosts.
class DataPathTest : public ::testing::Test
{
protected:
  void SetUp() override
  {
    ASSERT_TRUE(server_.Init());
    std::vector<std::string> workers;
    for (uint32_t i = 0; i < kWorkers; ++i) {
      workers.push_back(server_.WorkerAddress(i));
    }
    ClientSettings settings;
    settings.retryDelay_ = std::chrono::milliseconds(5);
    for (const char* name : { "e1", "e2" }) {
      entries_.push_back(std::make_unique<EntryHost>(name, workers, claims_));
      settings.targets_.push_back(entries_.back()->Address());
    }
    client_ = std::make_unique<CallerClient>(settings);
  }

  static BackendServerSettings Settings()
  {
    BackendServerSettings settings;
    settings.workers_ = kWorkers;
    settings.slots_ = 4;
    return settings;
  }

  void CallLoop(uint32_t aCaller)
  {
    CallerClient::Random random(aCaller);
    for (int i = 0; i < kRequestsPerCaller; ++i) {
      ClientRequest request;
      request.service_ = "births";
      request.nonce_ = std::to_string(aCaller) + "-" + std::to_string(i);
      request.idempotent_ = random() % 2 == 0;
      request.runTime_ = std::chrono::milliseconds(random() % 3);
      request.responseBytes_ = random() % 2000;
      HistoryLine invoke;
      invoke.nonce_ = request.nonce_;
      invoke.idempotent_ = request.idempotent_;
      history_.Write(invoke);
      const HistoryLine end = client_->Call(request, random);
      ++ends_.at(static_cast<size_t>(end.type_));
      history_.Write(end);
      ++calls_;
    }
  }

  /// Runs all callers; calls aDuring periodically with the number of completed calls.
  void RunCallers(const std::function<void(int)>& aDuring)
  {
    std::vector<std::thread> threads;
    for (uint32_t caller = 0; caller < kCallers; ++caller) {
      threads.emplace_back([this, caller] { CallLoop(caller); });
    }
    while (calls_ < kCallers * kRequestsPerCaller) {
      aDuring(calls_);
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    for (std::thread& thread : threads) {
      thread.join();
    }
  }

  void ExpectNoViolation()
  {
    const HistoryVerdict verdict =
      CheckHistory(ReadHistory(file_), server_.Record().Runs(0, SIZE_MAX), 0);
    for (const Violation& violation : verdict.violations_) {
      ADD_FAILURE() << ViolationName(violation.kind_) << " " << violation.nonce_ << " "
                    << violation.detail_;
    }
    EXPECT_EQ(verdict.requests_, static_cast<uint64_t>(kCallers * kRequestsPerCaller));
    EXPECT_GT(verdict.runs_, 0U);
  }

  int Ends(HistoryType aType) const { return ends_.at(static_cast<size_t>(aType)); }

  BackendServer server_{ Settings() };
  LocalClaims claims_{ "issuer.1" };
  std::vector<std::unique_ptr<EntryHost>> entries_;
  std::unique_ptr<CallerClient> client_;
  std::stringstream file_;
  HistoryWriter history_{ &file_ };
  std::array<std::atomic<int>, static_cast<size_t>(HistoryType::Count)> ends_{};
  std::atomic<int> calls_{ 0 };
};

// Guards against wrong or partial responses, duplicate runs and runs reported as not run, while
// each fault is switched on and off at one worker after the other.
TEST_F(DataPathTest, NoViolationDuringWorkerFaults)
{
  constexpr int kCallsPerFault = 40;
  // All faults that an entry host can detect. WrongBody, the last one, only tests the checker.
  constexpr int kFaults = static_cast<int>(BackendFault::WrongBody);
  int step = -1;
  RunCallers([&](int aCalls) {
    if (aCalls / kCallsPerFault == step) {
      return;
    }
    step = aCalls / kCallsPerFault;
    const auto worker = static_cast<uint32_t>(step) % kWorkers;
    server_.SetFault(BackendServer::kAllWorkers, BackendFault::None);
    server_.SetFault(worker, static_cast<BackendFault>(step % kFaults));
  });
  ExpectNoViolation();
  EXPECT_GT(Ends(HistoryType::Ok), kCallers * kRequestsPerCaller / 2);
}

// Guards against a graceful stop that aborts requests: callers switch to the other entry host, and
// no outcome is unknown.
TEST_F(DataPathTest, GracefulStopAbortsNoRequest)
{
  bool stopped = false;
  RunCallers([&](int aCalls) {
    if (stopped || aCalls < kCallers * kRequestsPerCaller / 2) {
      return;
    }
    stopped = true;
    Gateway& server = entries_[0]->Server();
    server.FailHealth();
    server.RefuseNewRequests();
    EXPECT_TRUE(server.WaitIdle(std::chrono::seconds(10)));
    server.Shutdown();
  });
  ExpectNoViolation();
  EXPECT_TRUE(stopped);
  EXPECT_EQ(Ends(HistoryType::Unknown), 0);
}

}
}
