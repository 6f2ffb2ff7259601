#include "sardinespoke/curl_backend_link.h"

#include "curl_transfer_p.h"

#include <curl/curl.h>

namespace sardinespoke {

namespace {

constexpr std::chrono::seconds kSweepInterval{ 1 };

/// Initialises libcurl once per process.
void
InitCurl()
{
  static const CURLcode kCode = curl_global_init(CURL_GLOBAL_ALL);
  static_cast<void>(kCode);
}

/// @returns Whether the connection can carry another transfer, because the response was complete.
bool
ConnectionIsReusable(const CurlTransfer::Result& aResult)
{
  return aResult.response_ ||
         (!aResult.connectionUnusable_ && aResult.error_.code_ == BackendError::Code::SlotsRefused);
}

}

CurlBackendLink::CurlBackendLink(CurlLinkSettings aSettings)
  : settings_(aSettings)
{
  InitCurl();
}

CurlBackendLink::~CurlBackendLink() = default;

std::unique_ptr<CurlTransfer>
CurlBackendLink::AcquireHandle(const std::string& aAddress)
{
  {
    const std::lock_guard lock(mutex_);
    Host& host = hosts_[aAddress];
    if (host.inUse_ >= settings_.connectionsPerHost_) {
      return nullptr;
    }
    ++host.inUse_;
    if (!host.idle_.empty()) {
      std::unique_ptr<CurlTransfer> transfer = std::move(host.idle_.back().transfer_);
      host.idle_.pop_back();
      --idleCount_;
      return transfer;
    }
  }
  return std::make_unique<CurlTransfer>(settings_);
}

void
CurlBackendLink::ReleaseHandle(const std::string& aAddress, std::unique_ptr<CurlTransfer> aTransfer)
{
  // Declared before the lock, so that connections are closed after it is released: closing one is
  // a system call.
  std::deque<IdleHandle> closed;
  const auto now = Clock::now();
  const std::lock_guard lock(mutex_);
  Host& host = hosts_[aAddress];
  --host.inUse_;
  if (aTransfer && idleCount_ < settings_.maxIdleConnections_) {
    host.idle_.push_back(IdleHandle{ std::move(aTransfer), now });
    ++idleCount_;
  }
  if (now >= nextSweep_) {
    nextSweep_ = now + kSweepInterval;
    CloseExpired(now, closed);
  }
}

void
CurlBackendLink::CloseExpired(Clock::time_point aNow, std::deque<IdleHandle>& aClosed)
{
  for (auto it = hosts_.begin(); it != hosts_.end();) {
    Host& host = it->second;
    while (!host.idle_.empty() &&
           aNow - host.idle_.front().since_ > settings_.idleConnectionTimeout_) {
      aClosed.push_back(std::move(host.idle_.front()));
      host.idle_.pop_front();
      --idleCount_;
    }
    it = host.idle_.empty() && host.inUse_ == 0 ? hosts_.erase(it) : std::next(it);
  }
}

leaf::result<BackendResponse>
CurlBackendLink::Send(const BackendRequest& aRequest)
{
  // Retries if a persistent connection turns out to be closed before a byte was sent. Each round
  // removes one idle connection, so the number of rounds is bounded.
  for (size_t round = 0; round <= settings_.connectionsPerHost_; ++round) {
    std::unique_ptr<CurlTransfer> transfer = AcquireHandle(aRequest.address_);
    if (!transfer) {
      break;
    }
    const uint64_t opened = transfer->ConnectionsOpened();
    const uint64_t refused = transfer->ResendsBlocked();
    CurlTransfer::Result result = transfer->Run(aRequest);
    {
      const std::lock_guard lock(mutex_);
      ++counters_.transfers_;
      counters_.connectionsOpened_ += transfer->ConnectionsOpened() - opened;
      counters_.resendsBlocked_ += transfer->ResendsBlocked() - refused;
    }
    if (!ConnectionIsReusable(result)) {
      transfer.reset();
    }
    ReleaseHandle(aRequest.address_, std::move(transfer));
    if (result.connectionUnusable_) {
      continue;
    }
    if (result.response_) {
      return std::move(*result.response_);
    }
    return leaf::new_error(result.error_);
  }
  return leaf::new_error(BackendError{ BackendError::Code::NotSent,
                                       "all connections to " + aRequest.address_ + " are in use" });
}

CurlLinkCounters
CurlBackendLink::Counters() const
{
  const std::lock_guard lock(mutex_);
  return counters_;
}

}
