#include "sardinespoke/host_directory.h"

namespace sardinespoke {

namespace {

constexpr std::chrono::milliseconds kRetryDelay{ 300 };

}

HostDirectory::HostDirectory(BackendCommandsI& aCommands, const ClockI& aClock)
  : commands_(aCommands)
  , clock_(aClock)
{
}

const HostEntry*
HostDirectory::Find(const std::string& aId) const
{
  const auto found = hosts_.find(aId);
  return found == hosts_.end() ? nullptr : &found->second;
}

void
HostDirectory::Tick(std::chrono::milliseconds aPeriod)
{
  const TimePoint now = clock_.Now();
  if (requestInFlight_ || now < retryAt_ || (loaded_ && now < answeredAt_ + aPeriod)) {
    return;
  }
  requestInFlight_ = true;
  const std::weak_ptr<bool> alive = alive_;
  commands_.ListHosts([this, alive, now](const HostListResult& aResult) {
    if (!alive.lock()) {
      return;
    }
    requestInFlight_ = false;
    if (!aResult.ok_) {
      retryAt_ = clock_.Now() + kRetryDelay;
      return;
    }
    hosts_.clear();
    for (const HostEntry& host : aResult.hosts_) {
      hosts_[host.id_] = host;
    }
    loaded_ = true;
    requestedAt_ = now;
    answeredAt_ = clock_.Now();
  });
}

}
