#include "sardinespoke/demand_exchange.h"

#include "demand_selection_p.h"

#include <algorithm>
#include <condition_variable>
#include <mutex>
#include <thread>

namespace sardinespoke {

namespace {

using nlohmann::json;

// Size of a Demand message without entries plus the peer's reply.
constexpr size_t kMessageOverheadBytes = 160;
// Maximum burst after a period without traffic, as time at the full rate.
constexpr std::chrono::seconds kMaxBurst{ 1 };

}

/// State and sending thread of the exchange.
class DemandExchange::Impl
{
public:
  Impl(const DemandExchangeSettings& aSettings,
       PeerLinkI& aPeers,
       const ClockI& aClock,
       DemandExchangeCallbacks aSurroundings)
    : settings_(aSettings)
    , peers_(aPeers)
    , clock_(aClock)
    , callbacks_(std::move(aSurroundings))
    , nextAt_(aClock.Now())
    , refilledAt_(aClock.Now())
  {
    peers_.Handle("Demand", [this](const json& aMessage) { return OnDemand(aMessage); });
  }

  void Start()
  {
    thread_ = std::thread([this]() { ThreadMain(); });
  }

  void Stop()
  {
    {
      const std::lock_guard lock(mutex_);
      stop_ = true;
      wake_.notify_all();
    }
    if (thread_.joinable()) {
      thread_.join();
    }
  }

  void Step()
  {
    if (clock_.Now() < nextAt_) {
      return;
    }
    nextAt_ = clock_.Now() + settings_.interval_;
    Refill();
    const std::vector<DemandPeer> peers = callbacks_.peers_();
    RemoveStalePeers(peers);
    for (const DemandPeer& peer : peers) {
      PeerState& state = peerStates_[peer.id_];
      if (clock_.Now() < state.retryAt_) {
        continue;
      }
      Send(peer, state, EntryBudget(peers.size()));
    }
  }

  void Publish(DemandReport aReport)
  {
    const std::lock_guard lock(mutex_);
    own_ = std::move(aReport);
    own_.entryHost_ = settings_.id_;
    table_.reset();
  }

  std::shared_ptr<const DemandTable> Table()
  {
    const std::lock_guard lock(mutex_);
    const TimePoint now = clock_.Now();
    if (!table_ || now >= tableUntil_) {
      BuildTable(now);
    }
    return table_;
  }

private:
  struct PeerState
  {
    PeerDemand demand_;
    uint64_t sequence_ = 0;
    TimePoint retryAt_;
  };

  struct ReceivedDemand
  {
    std::string process_;
    uint64_t sequence_ = 0;
    DemandEntries entries_;
    TimePoint at_;
  };

  void ThreadMain()
  {
    std::unique_lock lock(mutex_);
    while (!stop_) {
      lock.unlock();
      Step();
      lock.lock();
      wake_.wait_for(lock, std::max<TimePoint::duration>(nextAt_ - clock_.Now(), kMinWait));
    }
  }

  /// Refills the byte budget for the elapsed time and deducts all control traffic sent in it.
  void Refill()
  {
    const TimePoint now = clock_.Now();
    const double seconds = std::chrono::duration<double>(now - refilledAt_).count();
    const uint64_t sent = callbacks_.bytesSent_();
    const double rate = settings_.bytesPerSecond_;
    byteBudget_ += rate * seconds - static_cast<double>(sent - bytesSeen_);
    // The deficit is bounded, so that one large document doesn't stop the exchange for long.
    byteBudget_ = std::clamp(byteBudget_, -rate * kMaxBurst.count(), rate * kMaxBurst.count());
    refilledAt_ = now;
    bytesSeen_ = sent;
  }

  /// @returns Size limit of the entries of one message. If the budget is used up, a message without
  /// entries is still sent as a heartbeat, so that the peers don't drop this entry host.
  size_t EntryBudget(size_t aPeers) const
  {
    const double interval = std::chrono::duration<double>(settings_.interval_).count();
    // At most half of the budget; the rest is left for the other control traffic.
    const double budget = std::min(byteBudget_ / 2, settings_.bytesPerSecond_ * interval);
    const double share = budget / static_cast<double>(aPeers) - kMessageOverheadBytes;
    return share > 0 ? static_cast<size_t>(share) : 0;
  }

  void RemoveStalePeers(const std::vector<DemandPeer>& aPeers)
  {
    std::erase_if(peerStates_, [&](const auto& aState) {
      return std::none_of(aPeers.begin(), aPeers.end(), [&](const DemandPeer& aPeer) {
        return aPeer.id_ == aState.first;
      });
    });
  }

  void Send(const DemandPeer& aPeer, PeerState& aState, size_t aMaxBytes)
  {
    DemandSelection selection;
    if (aMaxBytes > 0) {
      const std::lock_guard lock(mutex_);
      selection = aState.demand_.Select(own_.byProfile_, aMaxBytes);
    }
    const json message{ { "type", "Demand" },
                        { "sender", settings_.id_ },
                        { "incarnation", settings_.process_ },
                        { "sequence", ++aState.sequence_ },
                        { "demand", selection.entries_ } };
    const std::optional<bool> senderKnown = leaf::try_handle_all(
      [&]() -> leaf::result<std::optional<bool>> {
        BOOST_LEAF_AUTO(reply, peers_.Call(aPeer.address_, message, settings_.peerTimeout_));
        return reply.at("known").get<bool>();
      },
      [](leaf::catch_<json::exception>) { return std::optional<bool>(); },
      []() { return std::optional<bool>(); });
    if (!senderKnown) {
      aState.retryAt_ = clock_.Now() + settings_.retryAfter_;
      return;
    }
    if (!*senderKnown) {
      aState.demand_.Reset();
    }
    aState.demand_.OnDelivered(selection);
  }

  leaf::result<json> OnDemand(const json& aMessage)
  {
    const std::string sender = aMessage.at("sender").get<std::string>();
    const std::string process = aMessage.at("incarnation").get<std::string>();
    const uint64_t sequence = aMessage.at("sequence").get<uint64_t>();
    const DemandEntries entries = aMessage.at("demand").get<DemandEntries>();
    if (!callbacks_.known_(sender)) {
      return leaf::new_error(
        PeerError{ PeerError::Code::Refused, "unknown sender \"" + sender + "\"" });
    }
    const std::lock_guard lock(mutex_);
    ReceivedDemand& received = received_[sender];
    const bool known = received.process_ == process;
    if (!known) {
      received = ReceivedDemand{ process, 0, {}, {} };
    }
    if (sequence <= received.sequence_) {
      return json{ { "known", known } };
    }
    received.sequence_ = sequence;
    received.at_ = clock_.Now();
    for (const auto& [profile, value] : entries) {
      if (value == 0) {
        received.entries_.erase(profile);
        continue;
      }
      received.entries_[profile] = value;
    }
    table_.reset();
    return json{ { "known", known } };
  }

  void BuildTable(TimePoint aNow)
  {
    auto table = std::make_shared<DemandTable>();
    tableUntil_ = TimePoint::max();
    table->byEntryHost_[settings_.id_] = own_;
    for (const auto& [id, received] : received_) {
      const TimePoint until = received.at_ + settings_.silenceLimit_;
      if (aNow >= until) {
        continue;
      }
      tableUntil_ = std::min(tableUntil_, until);
      table->byEntryHost_[id] = { id, received.entries_ };
    }
    // Expired senders are dropped. The reply to their next message makes them resend all entries.
    std::erase_if(received_, [&](const auto& aHeard) {
      return aNow - aHeard.second.at_ >= kExpiryFactor * settings_.silenceLimit_;
    });
    // Readers compare pointers and recompute all shares for a new object, so an unchanged table is
    // not replaced.
    if (!lastTable_ || *lastTable_ != *table) {
      lastTable_ = std::move(table);
    }
    table_ = lastTable_;
  }

  static constexpr int kExpiryFactor = 30;
  static constexpr std::chrono::milliseconds kMinWait{ 1 };

  const DemandExchangeSettings settings_;
  PeerLinkI& peers_;
  const ClockI& clock_;
  const DemandExchangeCallbacks callbacks_;

  // Used by the sending thread only.
  TimePoint nextAt_;
  TimePoint refilledAt_;
  uint64_t bytesSeen_ = 0;
  double byteBudget_ = 0;
  std::map<std::string, PeerState> peerStates_;

  std::mutex mutex_;
  std::condition_variable wake_;
  std::thread thread_;
  bool stop_ = false;
  DemandReport own_;
  std::map<std::string, ReceivedDemand> received_;
  std::shared_ptr<const DemandTable> table_;     ///< Null if it must be rebuilt.
  std::shared_ptr<const DemandTable> lastTable_; ///< The last table with changed content.
  TimePoint tableUntil_;
};

DemandExchange::DemandExchange(const DemandExchangeSettings& aSettings,
                               PeerLinkI& aPeers,
                               const ClockI& aClock,
                               DemandExchangeCallbacks aSurroundings)
  : impl_(std::make_unique<Impl>(aSettings, aPeers, aClock, std::move(aSurroundings)))
{
}

DemandExchange::~DemandExchange()
{
  impl_->Stop();
}

void
DemandExchange::Init()
{
  impl_->Start();
}

void
DemandExchange::Shutdown()
{
  impl_->Stop();
}

void
DemandExchange::Step()
{
  impl_->Step();
}

void
DemandExchange::Publish(DemandReport aReport)
{
  impl_->Publish(std::move(aReport));
}

std::shared_ptr<const DemandTable>
DemandExchange::Table() const
{
  return impl_->Table();
}

}
