#include "slope.h"
#include "slope_groups.h"
#include "synthetic.h"

#include "demand_selection_p.h"
#include "fake_peer_network.h"
#include "sardinespoke/demand_exchange.h"
#include "sardinespoke/manual_clock.h"
#include "sardinespoke/request_ids.h"

#include <optional>

namespace sardinespoke {

namespace {

constexpr std::chrono::milliseconds kStep{ 100 };
constexpr std::chrono::seconds kWarmUp{ 5 };
constexpr std::chrono::seconds kMeasured{ 30 };

/// Demand exchange of several entry hosts on a network in memory.
class ExchangeRig
{
public:
  explicit ExchangeRig(const SyntheticSize& aSize)
    : size_(aSize)
  {
    for (uint32_t index = 0; index < aSize.entryHosts_; ++index) {
      links_.push_back(network_.Connect(EntryName(index)));
    }
    for (uint32_t index = 0; index < aSize.entryHosts_; ++index) {
      DemandExchangeSettings settings;
      settings.id_ = EntryName(index);
      settings.process_ = "p";
      DemandExchangeCallbacks surroundings;
      surroundings.peers_ = [this, index]() { return Others(index); };
      surroundings.known_ = [](const std::string&) { return true; };
      surroundings.bytesSent_ = [this, index]() { return network_.BytesSent(EntryName(index)); };
      exchanges_.push_back(
        std::make_unique<DemandExchange>(settings, *links_[index], clock_, surroundings));
    }
  }

  /// Changes every profile's demand in each step, the worst case for the budget.
  void Run(std::chrono::seconds aTime)
  {
    for (std::chrono::milliseconds passed{ 0 }; passed < aTime; passed += kStep) {
      clock_.Advance(kStep);
      ++round_;
      for (uint32_t index = 0; index < size_.entryHosts_; ++index) {
        DemandReport report;
        for (uint32_t profile = 0; profile < size_.profiles_; ++profile) {
          report.byProfile_[ProfileName(profile)] = 1 + (round_ + profile) % 40;
        }
        exchanges_[index]->Publish(std::move(report));
        exchanges_[index]->Step();
      }
    }
  }

  uint64_t BytesSent() const { return network_.BytesSent(EntryName(0)); }

private:
  std::vector<DemandPeer> Others(uint32_t aSelf) const
  {
    std::vector<DemandPeer> peers;
    for (uint32_t index = 0; index < size_.entryHosts_; ++index) {
      if (index != aSelf) {
        peers.push_back({ EntryName(index), EntryName(index) });
      }
    }
    return peers;
  }

  const SyntheticSize size_;
  ManualClock clock_;
  FakePeerNetwork network_;
  std::vector<std::unique_ptr<PeerLinkI>> links_;
  std::vector<std::unique_ptr<DemandExchange>> exchanges_;
  uint32_t round_ = 0;
};

}

void
MeasureExchange(std::ostream& aOut)
{
  SlopeSeries report{ "exchange.report", "active profiles", "bytes", {} };
  SlopeSeries rate{ "exchange.node_rate", "active profiles", "bytes/s", {} };
  for (const SyntheticSize& size : SizeSteps()) {
    const DemandEntries entries = MakeDemand(size).byEntryHost_.begin()->second.byProfile_;
    const nlohmann::json message{ { "type", "Demand" },
                                  { "sender", EntryName(0) },
                                  { "incarnation", "0123456789abcdef" },
                                  { "sequence", 1 },
                                  { "demand", entries } };
    report.points_.emplace_back(size.profiles_, nlohmann::json::to_cbor(message).size());
    ExchangeRig rig(size);
    rig.Run(kWarmUp);
    const uint64_t before = rig.BytesSent();
    rig.Run(kMeasured);
    const double bytes = static_cast<double>(rig.BytesSent() - before);
    rate.points_.emplace_back(size.profiles_, bytes / kMeasured.count());
  }
  WriteSlope(aOut, report);
  WriteSlope(aOut, rate);
}

void
MeasureRequestIds(std::ostream& aOut)
{
  SlopeSeries claims{ "request_ids.issue_claim_finish", "ids", "cpu us", {} };
  SlopeSeries memory{ "request_ids.memory", "ids", "bytes", {} };
  const TimePoint now{ std::chrono::hours(1) };
  for (const uint32_t count : { 1000U, 2000U, 4000U, 8000U, 16000U }) {
    const auto run = [&](RequestIdTable& aTable) {
      for (const std::string& text : aTable.Issue(count, now)) {
        const std::optional<RequestId> id = RequestId::Parse(text);
        aTable.Claim(*id, "entry-2.0123456789abcdef.1", now);
        aTable.Finish(*id, "entry-2.0123456789abcdef.1", ClaimResult::Ran, std::nullopt, now);
      }
    };
    RequestIdTable kept(EntryName(0), "0123456789abcdef");
    memory.points_.emplace_back(count, HeapBytes([&]() { run(kept); }));
    claims.points_.emplace_back(count, CpuMicroseconds([&]() {
                                  RequestIdTable table(EntryName(0), "0123456789abcdef");
                                  run(table);
                                }));
  }
  WriteSlope(aOut, claims);
  WriteSlope(aOut, memory);
}

}
