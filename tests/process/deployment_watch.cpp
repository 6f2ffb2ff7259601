#include "deployment_watch.h"

#include <algorithm>
#include <initializer_list>
#include <string_view>

namespace sardinespoke {

namespace {

using namespace std::chrono_literals;

constexpr size_t kMaxListedLines = 10;

std::string
Concatenate(std::initializer_list<std::string_view> aParts)
{
  std::string text;
  for (const std::string_view part : aParts) {
    text += part;
  }
  return text;
}

bool
IsUnavailable(const FleetHost& aHost)
{
  return aHost.state_ != HostState::Serving;
}

bool
IsDisruptedByRollout(const FleetHost& aHost)
{
  return aHost.state_ == HostState::Maintenance ||
         (aHost.state_ == HostState::Draining && aHost.reason_ == DrainReason::Maintenance);
}

std::map<std::string, uint32_t>
CountByPool(const FleetMap& aFleet, bool (*aCounts)(const FleetHost&))
{
  std::map<std::string, uint32_t> count;
  for (const auto& [id, host] : aFleet.hosts_) {
    count[host.pool_] += aCounts(host) ? 1 : 0;
  }
  return count;
}

}

std::string
FirstLines(const std::vector<std::string>& aLines)
{
  std::string text;
  for (size_t index = 0; index < std::min(aLines.size(), kMaxListedLines); ++index) {
    text += aLines[index] + "\n";
  }
  return text;
}

void
FleetHistory::Add(FleetMap aFleet, int64_t aSentUs, int64_t aReceivedUs)
{
  if (!spans_.empty() && spans_.back().fleet_ == aFleet) {
    spans_.back().lastSentUs_ = aSentUs;
    return;
  }
  spans_.push_back({ std::move(aFleet), aReceivedUs, aSentUs });
}

bool
FleetHistory::MayHaveBeenInPool(const std::string& aHost,
                                const std::string& aPool,
                                int64_t aTimeUs) const
{
  for (size_t index = 0; index < spans_.size(); ++index) {
    const bool begun = index == 0 || aTimeUs >= spans_[index - 1].lastSentUs_;
    const bool ended = index + 1 < spans_.size() && aTimeUs > spans_[index + 1].firstReceivedUs_;
    if (!begun || ended) {
      continue;
    }
    const auto host = spans_[index].fleet_.hosts_.find(aHost);
    if (host != spans_[index].fleet_.hosts_.end() && host->second.pool_ == aPool) {
      return true;
    }
  }
  return false;
}

std::vector<std::string>
FleetHistory::WrongPoolRuns(const std::vector<RunEntry>& aRuns,
                            const nlohmann::json& aServices) const
{
  std::vector<std::string> wrong;
  for (const RunEntry& run : aRuns) {
    const std::string host = Deployment::HostId(run.worker_);
    const auto pool = aServices.at(run.service_).at("pool").get<std::string>();
    if (!MayHaveBeenInPool(host, pool, run.startUs_)) {
      wrong.push_back(Concatenate({ run.attempt_,
                                    " of ",
                                    run.service_,
                                    " ran on ",
                                    host,
                                    ", which was not in pool ",
                                    pool }));
    }
  }
  return wrong;
}

std::vector<std::string>
FleetHistory::BudgetViolations(uint32_t aBudget) const
{
  std::vector<std::string> violations;
  for (size_t index = 0; index < spans_.size(); ++index) {
    const FleetMap& now = spans_[index].fleet_;
    const std::string revision = " at revision " + std::to_string(now.revision_);
    for (const auto& [pool, count] : CountByPool(now, &IsDisruptedByRollout)) {
      if (count > aBudget) {
        violations.push_back(Concatenate(
          { pool, ": ", std::to_string(count), " unavailable for the roll-out", revision }));
      }
    }
    if (index == 0 || spans_[index - 1].fleet_.revision_ >= now.revision_) {
      continue;
    }
    const FleetMap& before = spans_[index - 1].fleet_;
    auto unavailable = CountByPool(now, &IsUnavailable);
    for (const auto& [id, host] : now.hosts_) {
      const auto old = before.hosts_.find(id);
      const bool started = IsDisruptedByRollout(host) && old != before.hosts_.end() &&
                           old->second.state_ == HostState::Serving;
      if (started && unavailable[host.pool_] > aBudget) {
        const std::string unavailableCount = std::to_string(unavailable[host.pool_]);
        violations.push_back(Concatenate({ id,
                                           " was disrupted in ",
                                           host.pool_,
                                           ", which has ",
                                           unavailableCount,
                                           " unavailable",
                                           revision }));
      }
    }
  }
  return violations;
}

uint32_t
FleetHistory::Moves() const
{
  uint32_t moves = 0;
  for (size_t index = 1; index < spans_.size(); ++index) {
    for (const auto& [id, host] : spans_[index].fleet_.hosts_) {
      const auto& before = spans_[index - 1].fleet_.hosts_;
      const auto old = before.find(id);
      moves += old != before.end() && old->second.pool_ != host.pool_ ? 1 : 0;
    }
  }
  return moves;
}

void
RevisionLog::Add(const nlohmann::json& aStatus)
{
  ++samples_;
  Compare(aStatus, "profiles_revision");
  Compare(aStatus, "fleet_revision");
}

void
RevisionLog::Compare(const nlohmann::json& aStatus, const char* aField)
{
  // The incarnation may change without a restart, but only a new process starts at revision 0.
  const std::string incarnation = aStatus.at("incarnation").get<std::string>();
  const std::string process = incarnation.substr(0, incarnation.find('-'));
  const std::string name = aStatus.at("id").get<std::string>() + " " + process + " " + aField;
  const auto revision = aStatus.at(aField).get<uint64_t>();
  uint64_t& greatest = greatest_[name];
  if (revision < greatest) {
    reverts_.push_back(name + " decreased from " + std::to_string(greatest) + " to " +
                       std::to_string(revision));
  }
  greatest = std::max(greatest, revision);
}

DeploymentWatch::DeploymentWatch(Deployment& aDeployment)
  : deployment_(aDeployment)
{
  threads_.emplace_back([this] { WatchFleet(); });
  threads_.emplace_back([this] { WatchStatus(); });
  threads_.emplace_back([this] { WatchReboots(); });
}

DeploymentWatch::~DeploymentWatch()
{
  Stop();
}

void
DeploymentWatch::Stop()
{
  stop_ = true;
  for (std::thread& thread : threads_) {
    if (thread.joinable()) {
      thread.join();
    }
  }
}

void
DeploymentWatch::WatchFleet()
{
  while (!stop_) {
    const int64_t sent = NowUs();
    auto fleet = deployment_.StoredFleet();
    if (fleet) {
      {
        const std::lock_guard lock(fleetMutex_);
        latest_ = *fleet;
      }
      fleet_.Add(std::move(*fleet), sent, NowUs());
    }
    std::this_thread::sleep_for(5ms);
  }
}

void
DeploymentWatch::WatchStatus()
{
  while (!stop_) {
    for (uint32_t entry = 0; entry < deployment_.EntryCount(); ++entry) {
      const auto status = deployment_.Admin(entry, "GET", "/v1/status", "", 100ms);
      if (status.status_ == 200) {
        revisions_.Add(status.body_);
      }
    }
    std::this_thread::sleep_for(20ms);
  }
}

void
DeploymentWatch::WatchReboots()
{
  while (!stop_) {
    FleetMap fleet;
    {
      const std::lock_guard lock(fleetMutex_);
      fleet = latest_;
    }
    std::map<std::string, uint32_t> rebooting;
    for (const auto& [id, host] : fleet.hosts_) {
      if (host.state_ == HostState::Serving) {
        continue; // Only hosts out of service reboot.
      }
      const auto power = deployment_.Platform("GET", "/hosts/v1/hosts/" + id);
      if (power.status_ != 200 || power.body_.at("state") != "rebooting") {
        continue;
      }
      const uint32_t count = ++rebooting[host.pool_];
      mostRebooting_ = std::max(mostRebooting_, count);
      if (count > 1) {
        rebootViolations_.push_back(host.pool_ + ": " + std::to_string(count) + " reboot at once");
      }
    }
    std::this_thread::sleep_for(20ms);
  }
}

}
