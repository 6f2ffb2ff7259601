#include "sardinespoke/leadership.h"

#include "bounded_json_p.h"
#include "sardinespoke/logging.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace sardinespoke {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kWatchWait{ 2000 };
constexpr milliseconds kCampaignRetry{ 300 };
// Renewals in one lease time; the lease survives the loss of three.
constexpr int kRenewalsPerLease = 4;
// Subtracted from the lease for the resolution of the clocks on both sides.
constexpr milliseconds kLeaseMargin{ 50 };

}

Leadership::Leadership(RecordStoreI& aStore, const ClockI& aClock, LeadershipSettings aSettings)
  : store_(aStore)
  , clock_(aClock)
  , settings_(std::move(aSettings))
  , feed_(aStore, aClock, FeedSettings{ settings_.key_, kWatchWait, milliseconds(0) })
{
}

std::string
Leadership::Value() const
{
  return nlohmann::json{
    { "name", settings_.name_ },
    { "incarnation", settings_.incarnation_ },
    { "address", settings_.address_ }
  }.dump();
}

void
Leadership::Tick()
{
  feed_.Tick();
  if (feed_.TakeChanged()) {
    ReadLeader();
  }
  const TimePoint now = clock_.Now();
  if (isLeader_) {
    if (!renewing_ && now >= nextRenewal_) {
      Renew();
    }
    return;
  }
  if (resigned_ || campaigning_ || !feed_.IsLoaded() || !leader_.address_.empty()) {
    return;
  }
  if (now >= nextCampaign_) {
    Campaign();
  }
}

void
Leadership::ReadLeader()
{
  const auto found = feed_.All().find(settings_.key_);
  if (found == feed_.All().end()) {
    leader_ = LeaderInfo{};
    nextCampaign_ = clock_.Now() + settings_.campaignDelay_;
    if (isLeader_) {
      StepDown("the leader's record no longer exists");
    }
    return;
  }
  const Record& record = found->second;
  const auto value = ParseJson(record.value_);
  const auto isText = [&value](const char* aName) {
    return value.contains(aName) && value.at(aName).is_string();
  };
  if (!isText("name") || !isText("address") || !isText("incarnation")) {
    Log(LogLevel::Warn, "leader.unreadable", { { "revision", record.revision_ } });
    return;
  }
  leader_.name_ = value.at("name").get<std::string>();
  leader_.address_ = value.at("address").get<std::string>();
  leader_.fencingToken_ = record.revision_;
  const bool mine = value.at("incarnation").get<std::string>() == settings_.incarnation_;
  if (mine && !isLeader_ && !resigned_ && record.lease_ == lease_ && lease_ != 0) {
    // The response to the transaction that wrote the record was lost.
    BecomeLeader(record.revision_);
    return;
  }
  predecessorFencingToken_ = mine ? predecessorFencingToken_ : record.revision_;
  if (isLeader_ && !mine && record.revision_ > fencingToken_) {
    StepDown("another host is the leader");
  }
  Log(LogLevel::Info,
      "leader.seen",
      { { "leader", leader_.name_ }, { "fence", leader_.fencingToken_ } });
}

void
Leadership::Campaign()
{
  campaigning_ = true;
  lease_ = 0;
  const TimePoint sent = clock_.Now();
  const std::weak_ptr<bool> alive = alive_;
  store_.Grant(settings_.ttl_, [this, alive, sent](const RecordReply& aReply) {
    if (alive.lock()) {
      OnGranted(sent, aReply);
    }
  });
}

void
Leadership::OnGranted(TimePoint aSent, const RecordReply& aReply)
{
  if (aReply.outcome_ != RecordOutcome::Ok || resigned_) {
    campaigning_ = false;
    nextCampaign_ = clock_.Now() + kCampaignRetry;
    return;
  }
  lease_ = aReply.lease_;
  leaseSent_ = aSent;
  RecordTransaction change;
  change.preconditions_.push_back(RecordPrecondition{ settings_.key_, 0 });
  change.writes_.push_back(RecordWrite{ settings_.key_, Value(), lease_ });
  // Each leader removes the handover that it takes, so that one that is there is of the last
  // leader.
  const auto resigned = feed_.All().find(ResignedKey());
  handover_ = Handover{};
  if (resigned == feed_.All().end()) {
    change.preconditions_.push_back(RecordPrecondition{ ResignedKey(), 0 });
  } else {
    handover_ = Handover::Parse(resigned->second.value_);
    change.preconditions_.push_back(
      RecordPrecondition{ ResignedKey(), resigned->second.revision_ });
    change.deletes_.push_back(ResignedKey());
  }
  const std::weak_ptr<bool> alive = alive_;
  store_.Commit(change, [this, alive](const RecordReply& aReply) {
    if (alive.lock()) {
      OnClaimed(aReply);
    }
  });
}

void
Leadership::OnClaimed(const RecordReply& aReply)
{
  campaigning_ = false;
  nextCampaign_ = clock_.Now() + kCampaignRetry;
  if (aReply.outcome_ == RecordOutcome::Ok && !isLeader_) {
    BecomeLeader(aReply.revision_);
  }
}

void
Leadership::BecomeLeader(int64_t aFence)
{
  isLeader_ = true;
  mustRenewFirst_ = false;
  fencingToken_ = aFence;
  validUntil_ = leaseSent_ + settings_.ttl_ - kLeaseMargin;
  nextRenewal_ = leaseSent_ + settings_.ttl_ / kRenewalsPerLease;
  leader_ = LeaderInfo{ settings_.name_, settings_.address_, fencingToken_ };
  Log(LogLevel::Info, "leader.won", { { "fence", fencingToken_ } });
}

const Handover*
Leadership::Inherited() const
{
  // An earlier release does not remove a handover, so that it may be of the leader before the last.
  const bool isOutdated =
    predecessorFencingToken_ != 0 && handover_.fencingToken_ != predecessorFencingToken_;
  return handover_.fencingToken_ == 0 || isOutdated ? nullptr : &handover_;
}

void
Leadership::Renew()
{
  renewing_ = true;
  const TimePoint sent = clock_.Now();
  const std::weak_ptr<bool> alive = alive_;
  store_.Renew(lease_, [this, alive, sent](const RecordReply& aReply) {
    if (alive.lock()) {
      OnRenewed(sent, aReply);
    }
  });
}

void
Leadership::OnRenewed(TimePoint aSent, const RecordReply& aReply)
{
  renewing_ = false;
  nextRenewal_ = std::max(clock_.Now(), aSent + settings_.ttl_ / kRenewalsPerLease);
  if (!isLeader_) {
    return;
  }
  if (aReply.outcome_ == RecordOutcome::NotFound) {
    StepDown("the lease has expired");
    return;
  }
  if (aReply.outcome_ != RecordOutcome::Ok) {
    return; // Repeated at the next renewal; HoldsValidLease() checks the expiry.
  }
  validUntil_ = aSent + settings_.ttl_ - kLeaseMargin;
  mustRenewFirst_ = mustRenewFirst_ && clock_.Now() >= validUntil_;
}

bool
Leadership::HoldsValidLease() const
{
  return isLeader_ && clock_.Now() < validUntil_;
}

LeaseState
Leadership::Lease() const
{
  if (!HoldsValidLease()) {
    return LeaseState::Over;
  }
  return clock_.Now() < validUntil_ - settings_.ttl_ / 2 ? LeaseState::Valid : LeaseState::InDoubt;
}

bool
Leadership::MaySendCommands() const
{
  return isLeader_ && (HoldsValidLease() || !mustRenewFirst_);
}

void
Leadership::OnProcessPause()
{
  mustRenewFirst_ = clock_.Now() >= validUntil_;
  nextRenewal_ = clock_.Now();
}

void
Leadership::StepDown(const char* aReason)
{
  if (!isLeader_) {
    return;
  }
  isLeader_ = false;
  lease_ = 0;
  Log(LogLevel::Warn, "leader.lost", { { "fence", fencingToken_ }, { "reason", aReason } });
  if (leader_.name_ == settings_.name_) {
    leader_ = LeaderInfo{};
  }
  nextCampaign_ = clock_.Now() + settings_.campaignDelay_;
}

void
Leadership::Resign(Handover aHandover)
{
  resigned_ = true;
  if (!isLeader_) {
    return;
  }
  RecordTransaction change;
  change.preconditions_.push_back(LeaderRecordPrecondition());
  change.deletes_.push_back(settings_.key_);
  aHandover.fencingToken_ = fencingToken_;
  change.writes_.push_back(RecordWrite{ ResignedKey(), aHandover.Serialize() });
  // If this fails, the next leader only has to wait for the lease to expire.
  store_.Commit(change, [](const RecordReply&) {});
  StepDown("resigned");
}

TimePoint
Leadership::NextDue() const
{
  TimePoint due = feed_.NextDue();
  if (isLeader_ && !renewing_) {
    due = std::min(due, nextRenewal_);
  }
  if (!isLeader_ && !campaigning_ && leader_.address_.empty()) {
    due = std::min(due, nextCampaign_);
  }
  return due;
}

}
