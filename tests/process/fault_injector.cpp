#include "fault_injector.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <iterator>

namespace sardinespoke {

namespace {

using namespace std::chrono_literals;

constexpr size_t kMaxFaultyWorkers = 4;
constexpr std::chrono::seconds kStopLimit{ 25 };

}

FaultInjector::FaultInjector(Deployment& aDeployment, uint64_t aSeed)
  : deployment_(aDeployment)
  , random_(aSeed)
{
}

void
FaultInjector::Step()
{
  static const std::array<std::pair<const char*, Action>, 15> kActions{ {
    { "freeze", &FaultInjector::PauseEntry },
    { "resume", &FaultInjector::ResumeEntry },
    { "kill", &FaultInjector::KillEntry },
    { "restart", &FaultInjector::RestartEntry },
    { "terminate", &FaultInjector::TerminateEntry },
    { "store_down", &FaultInjector::StoreDown },
    { "store_up", &FaultInjector::StoreUp },
    { "lose_answers", &FaultInjector::LoseResponses },
    { "slow_store", &FaultInjector::SlowStore },
    { "expire_leases", &FaultInjector::ExpireLeases },
    { "break_worker", &FaultInjector::BreakWorker },
    { "move_host", &FaultInjector::MoveHost },
    { "edit_profile", &FaultInjector::EditProfile },
    { "mark_leaving", &FaultInjector::MarkLeaving },
    { "end_leaving", &FaultInjector::EndLeaving },
  } };
  const auto& [name, action] = kActions.at(Pick(kActions.size()));
  ++actionCounts_[name];
  (this->*action)();
}

std::string
FaultInjector::Summary() const
{
  return nlohmann::json(actionCounts_).dump();
}

uint32_t
FaultInjector::PickRunning()
{
  for (;;) {
    const uint32_t entry = Pick(deployment_.EntryCount());
    if (pausedEntries_.count(entry) == 0 && stoppedEntries_.count(entry) == 0) {
      return entry;
    }
  }
}

void
FaultInjector::PauseEntry()
{
  if (!MayDisruptEntry()) {
    return;
  }
  const uint32_t entry = PickRunning();
  deployment_.Entry(entry).Signal(SIGSTOP);
  pausedEntries_.insert(entry);
}

void
FaultInjector::ResumeEntry()
{
  if (pausedEntries_.empty()) {
    return;
  }
  const uint32_t entry = *pausedEntries_.begin();
  pausedEntries_.erase(entry);
  deployment_.Entry(entry).Signal(SIGCONT);
}

void
FaultInjector::KillEntry()
{
  if (!MayDisruptEntry()) {
    return;
  }
  const uint32_t entry = PickRunning();
  deployment_.Entry(entry).Signal(SIGKILL);
  deployment_.Entry(entry).Wait(kStopLimit);
  stoppedEntries_.insert(entry);
}

void
FaultInjector::RestartEntry()
{
  if (stoppedEntries_.empty()) {
    return;
  }
  const uint32_t entry = *stoppedEntries_.begin();
  stoppedEntries_.erase(entry);
  deployment_.StartEntry(entry);
}

void
FaultInjector::TerminateEntry()
{
  if (!MayDisruptEntry()) {
    return;
  }
  const uint32_t entry = PickRunning();
  deployment_.Entry(entry).Signal(SIGTERM);
  const int code = deployment_.Entry(entry).Wait(kStopLimit);
  if (code != 0) {
    badExits_.push_back(Deployment::EntryId(entry) + " ended with " + std::to_string(code));
  }
  stoppedEntries_.insert(entry);
}

void
FaultInjector::StoreDown()
{
  deployment_.SetPlatformFaults({ { "store_down", true } });
}

void
FaultInjector::StoreUp()
{
  deployment_.SetPlatformFaults({ { "store_down", false }, { "slow_ms", 0 } });
}

void
FaultInjector::LoseResponses()
{
  deployment_.SetPlatformFaults({ { "lose_write_answers", 1 + Pick(3) } });
}

void
FaultInjector::SlowStore()
{
  deployment_.SetPlatformFaults({ { "slow_ms", 50 + Pick(150) } });
}

void
FaultInjector::ExpireLeases()
{
  deployment_.SetPlatformFaults({ { "expire_leases", true } });
}

void
FaultInjector::BreakWorker()
{
  constexpr std::array<const char*, 7> kFaults{ "fail-all",    "close-after-acting", "short-body",
                                                "late-answer", "out-of-order",       "mixed-up",
                                                "down" };
  if (faultyWorkers_.size() >= kMaxFaultyWorkers) {
    deployment_.SetWorkerFault(*faultyWorkers_.begin(), "none");
    faultyWorkers_.erase(faultyWorkers_.begin());
    return;
  }
  const uint32_t worker = Pick(Deployment::kWorkers);
  deployment_.SetWorkerFault(worker, kFaults.at(Pick(kFaults.size())));
  faultyWorkers_.insert(worker);
}

void
FaultInjector::MoveHost()
{
  const auto fleet = deployment_.StoredFleet();
  if (!fleet || fleet->hosts_.empty()) {
    return;
  }
  const auto& pools = deployment_.Profiles().at("pools");
  const std::string pool =
    std::next(pools.begin(), static_cast<int>(Pick(static_cast<uint32_t>(pools.size())))).key();
  const auto host = std::next(fleet->hosts_.begin(),
                              static_cast<int>(Pick(static_cast<uint32_t>(fleet->hosts_.size()))));
  deployment_.BeginMove(host->first, pool); // Has no effect if the host is not serving.
}

void
FaultInjector::EditProfile()
{
  const uint32_t entry = PickRunning();
  const auto status = deployment_.Admin(entry, "GET", "/v1/status", "", 500ms);
  if (status.status_ != 200) {
    return;
  }
  nlohmann::json profile = deployment_.Profiles().at("profiles").at("buyers-batch");
  profile["queue_length"] = 100 + (++edits_);
  const auto response =
    deployment_.PutProfile(entry,
                           "buyers-batch",
                           profile,
                           "mix-" + std::to_string(edits_),
                           status.body_.at("profiles_revision").get<uint64_t>());
  if (response.status_ == 200) {
    acceptedRevision_ = std::max(acceptedRevision_, response.body_.at("revision").get<uint64_t>());
  }
}

void
FaultInjector::MarkLeaving()
{
  constexpr size_t kMaxLeaving = 2;
  const auto open = std::count_if(leaving_.begin(), leaving_.end(), [](const LeavingHost& aHost) {
    return aHost.untilUs_ == INT64_MAX;
  });
  if (open >= static_cast<std::ptrdiff_t>(kMaxLeaving)) {
    return;
  }
  const uint32_t worker = Pick(Deployment::kWorkers);
  const nlohmann::json change = { { "leaving", { Deployment::HostId(worker) } } };
  if (deployment_.Platform("POST", "/hosts/v1/list", change.dump()).status_ == 200) {
    leaving_.push_back({ worker, NowUs(), INT64_MAX });
  }
}

void
FaultInjector::EndLeaving()
{
  for (LeavingHost& host : leaving_) {
    if (host.untilUs_ != INT64_MAX) {
      continue;
    }
    host.untilUs_ = NowUs();
    const nlohmann::json change = { { "live", { Deployment::HostId(host.worker_) } } };
    deployment_.Platform("POST", "/hosts/v1/list", change.dump());
    return;
  }
}

bool
FaultInjector::Recover()
{
  StoreUp();
  deployment_.SetPlatformFaults({ { "lose_write_answers", 0 } });
  while (!pausedEntries_.empty()) {
    ResumeEntry();
  }
  while (!stoppedEntries_.empty()) {
    RestartEntry();
  }
  for (const uint32_t worker : std::exchange(faultyWorkers_, {})) {
    deployment_.SetWorkerFault(worker, "none");
  }
  return WaitUntil(30s, [&] { return deployment_.AllEntriesServe(); });
}

}
