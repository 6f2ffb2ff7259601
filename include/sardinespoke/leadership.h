#pragma once

#include "sardinespoke/prefix_feed.h"

#include <memory>
#include <string>

namespace sardinespoke {

/// The entry host that owns all pools.
struct LeaderInfo
{
  std::string name_;
  std::string address_; ///< "ip:port" of its peer link; empty if there is no leader.
  int64_t fencingToken_ = 0;
};

struct LeadershipSettings
{
  std::string name_;        ///< Name of this entry host.
  std::string incarnation_; ///< Unique to this process.
  std::string address_;     ///< "ip:port" of this host's peer link.
  std::string key_;         ///< Key of the leader's record.
  std::chrono::milliseconds ttl_{ 2000 };
  std::chrono::milliseconds campaignDelay_{ 0 }; ///< A weak host lets stronger ones go first.
};

/// Elects one owner by a record under a lease. The record's revision is the owner's fence: it rises
/// with every change of owner.
///
/// The lease is counted from when its renewal was sent, on a clock that includes suspensions, so
/// that an owner that was paused knows that it must ask first. An owner whose renewals get no
/// answer goes on under its fence until a backend server has seen a higher one: it cannot tell an
/// outage of the store from its own isolation, and work that is under way must not stop in an
/// outage.
class Leadership
{
public:
  Leadership(RecordStoreI& aStore, const ClockI& aClock, LeadershipSettings aSettings);

  void Tick();

  bool IsLeader() const { return isLeader_; }
  int64_t FencingToken() const { return fencingToken_; }

  /// @returns The owner's record, which each of its changes to the store expects.
  RecordPrecondition LeaderRecordPrecondition() const
  {
    return RecordPrecondition{ settings_.key_, fencingToken_ };
  }

  /// @returns True if no other host can own the pools now.
  bool HoldsValidLease() const;

  /// @returns True if orders may be sent: certain, or in an outage without a pause since.
  bool MaySendCommands() const;

  /// The process did not run for some time.
  void OnProcessPause();

  /// Another owner was seen, or a change was refused because the record is another's.
  void StepDown(const char* aReason);

  /// Gives up the record, so that another host takes over at once.
  void Resign();

  const LeaderInfo& Leader() const { return leader_; }

  /// @returns The fence of the last other owner that was seen; 0 if none was.
  int64_t PredecessorFencingToken() const { return predecessorFencingToken_; }

  /// @returns Key of the record in which an owner that resigned leaves its fence.
  std::string ResignedKey() const { return settings_.key_ + "-resigned"; }

  /// @returns How long an owner that lost its record may still believe to own it.
  std::chrono::milliseconds Ttl() const { return settings_.ttl_; }
  TimePoint NextDue() const;

private:
  void ReadLeader();
  void Campaign();
  void OnGranted(TimePoint aSent, const RecordReply& aReply);
  void OnClaimed(const RecordReply& aReply);
  void Renew();
  void OnRenewed(TimePoint aSent, const RecordReply& aReply);
  void BecomeLeader(int64_t aFence);
  std::string Value() const;

  RecordStoreI& store_;
  const ClockI& clock_;
  const LeadershipSettings settings_;
  PrefixFeed feed_;
  LeaderInfo leader_;
  bool isLeader_ = false;
  bool resigned_ = false;
  bool campaigning_ = false;
  bool renewing_ = false;
  bool mustRenewFirst_ = false; ///< A pause may have outlasted the lease.
  int64_t fencingToken_ = 0;
  int64_t predecessorFencingToken_ = 0;
  uint64_t lease_ = 0;
  TimePoint leaseSent_{};
  TimePoint validUntil_{};
  TimePoint nextRenewal_{};
  TimePoint nextCampaign_{};
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}
