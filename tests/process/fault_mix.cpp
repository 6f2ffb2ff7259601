#include "fault_mix.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <iterator>

namespace sardinespoke {

namespace {

using namespace std::chrono_literals;

constexpr size_t kMaxBrokenWorkers = 4;
constexpr std::chrono::seconds kStopLimit{ 25 };

}

FaultMix::FaultMix(Deployment& aDeployment, uint64_t aSeed)
  : deployment_(aDeployment)
  , random_(aSeed)
{
}

void
FaultMix::Step()
{
  static const std::array<std::pair<const char*, Action>, 15> kActions{ {
    { "freeze", &FaultMix::Freeze },
    { "resume", &FaultMix::Resume },
    { "kill", &FaultMix::Kill },
    { "restart", &FaultMix::Restart },
    { "terminate", &FaultMix::Terminate },
    { "store_down", &FaultMix::StoreDown },
    { "store_up", &FaultMix::StoreUp },
    { "lose_answers", &FaultMix::LoseAnswers },
    { "slow_store", &FaultMix::SlowStore },
    { "expire_leases", &FaultMix::ExpireLeases },
    { "break_worker", &FaultMix::BreakWorker },
    { "move_host", &FaultMix::MoveHost },
    { "edit_profile", &FaultMix::EditProfile },
    { "mark_leaving", &FaultMix::MarkLeaving },
    { "end_leaving", &FaultMix::EndLeaving },
  } };
  const auto& [name, action] = kActions.at(Pick(kActions.size()));
  ++used_[name];
  (this->*action)();
}

std::string
FaultMix::Text() const
{
  return nlohmann::json(used_).dump();
}

uint32_t
FaultMix::PickRunning()
{
  for (;;) {
    const uint32_t entry = Pick(deployment_.Entries());
    if (frozen_.count(entry) == 0 && gone_.count(entry) == 0) {
      return entry;
    }
  }
}

void
FaultMix::Freeze()
{
  if (!MayTakeEntry()) {
    return;
  }
  const uint32_t entry = PickRunning();
  deployment_.Entry(entry).Signal(SIGSTOP);
  frozen_.insert(entry);
}

void
FaultMix::Resume()
{
  if (frozen_.empty()) {
    return;
  }
  const uint32_t entry = *frozen_.begin();
  frozen_.erase(entry);
  deployment_.Entry(entry).Signal(SIGCONT);
}

void
FaultMix::Kill()
{
  if (!MayTakeEntry()) {
    return;
  }
  const uint32_t entry = PickRunning();
  deployment_.Entry(entry).Signal(SIGKILL);
  deployment_.Entry(entry).Wait(kStopLimit);
  gone_.insert(entry);
}

void
FaultMix::Restart()
{
  if (gone_.empty()) {
    return;
  }
  const uint32_t entry = *gone_.begin();
  gone_.erase(entry);
  deployment_.StartEntry(entry);
}

void
FaultMix::Terminate()
{
  if (!MayTakeEntry()) {
    return;
  }
  const uint32_t entry = PickRunning();
  deployment_.Entry(entry).Signal(SIGTERM);
  const int code = deployment_.Entry(entry).Wait(kStopLimit);
  if (code != 0) {
    badExits_.push_back(Deployment::EntryId(entry) + " ended with " + std::to_string(code));
  }
  gone_.insert(entry);
}

void
FaultMix::StoreDown()
{
  deployment_.PlatformFault({ { "store_down", true } });
}

void
FaultMix::StoreUp()
{
  deployment_.PlatformFault({ { "store_down", false }, { "slow_ms", 0 } });
}

void
FaultMix::LoseAnswers()
{
  deployment_.PlatformFault({ { "lose_write_answers", 1 + Pick(3) } });
}

void
FaultMix::SlowStore()
{
  deployment_.PlatformFault({ { "slow_ms", 50 + Pick(150) } });
}

void
FaultMix::ExpireLeases()
{
  deployment_.PlatformFault({ { "expire_leases", true } });
}

void
FaultMix::BreakWorker()
{
  constexpr std::array<const char*, 7> kFaults{ "fail-all",    "close-after-acting", "short-body",
                                                "late-answer", "out-of-order",       "mixed-up",
                                                "down" };
  if (brokenWorkers_.size() >= kMaxBrokenWorkers) {
    deployment_.WorkerFault(*brokenWorkers_.begin(), "none");
    brokenWorkers_.erase(brokenWorkers_.begin());
    return;
  }
  const uint32_t worker = Pick(Deployment::kWorkers);
  deployment_.WorkerFault(worker, kFaults.at(Pick(kFaults.size())));
  brokenWorkers_.insert(worker);
}

void
FaultMix::MoveHost()
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
  deployment_.StartMoveOf(host->first, pool); // Refused if the host is not serving.
}

void
FaultMix::EditProfile()
{
  const uint32_t entry = PickRunning();
  const auto status = deployment_.Admin(entry, "GET", "/v1/status", "", 500ms);
  if (status.status_ != 200) {
    return;
  }
  nlohmann::json profile = deployment_.Profiles().at("profiles").at("buyers-batch");
  profile["queue_length"] = 100 + (++edits_);
  const auto answer = deployment_.PutProfile(entry,
                                             "buyers-batch",
                                             profile,
                                             "mix-" + std::to_string(edits_),
                                             status.body_.at("profiles_revision").get<uint64_t>());
  if (answer.status_ == 200) {
    accepted_ = std::max(accepted_, answer.body_.at("revision").get<uint64_t>());
  }
}

void
FaultMix::MarkLeaving()
{
  constexpr size_t kMaxLeaving = 2;
  const auto open = std::count_if(leaving_.begin(), leaving_.end(), [](const Leaving& aHost) {
    return aHost.untilUs_ == INT64_MAX;
  });
  if (open >= static_cast<std::ptrdiff_t>(kMaxLeaving)) {
    return;
  }
  const uint32_t worker = Pick(Deployment::kWorkers);
  const nlohmann::json change = { { "leaving", { Deployment::HostOf(worker) } } };
  if (deployment_.Platform("POST", "/hosts/v1/list", change.dump()).status_ == 200) {
    leaving_.push_back({ worker, NowUs(), INT64_MAX });
  }
}

void
FaultMix::EndLeaving()
{
  for (Leaving& host : leaving_) {
    if (host.untilUs_ != INT64_MAX) {
      continue;
    }
    host.untilUs_ = NowUs();
    const nlohmann::json change = { { "live", { Deployment::HostOf(host.worker_) } } };
    deployment_.Platform("POST", "/hosts/v1/list", change.dump());
    return;
  }
}

bool
FaultMix::Recover()
{
  StoreUp();
  deployment_.PlatformFault({ { "lose_write_answers", 0 } });
  while (!frozen_.empty()) {
    Resume();
  }
  while (!gone_.empty()) {
    Restart();
  }
  for (const uint32_t worker : std::exchange(brokenWorkers_, {})) {
    deployment_.WorkerFault(worker, "none");
  }
  return WaitUntil(30s, [&] { return deployment_.AllServe(); });
}

}
