#pragma once

#include "sardinespoke/handover.h"
#include "sardinespoke/lease_state.h"
#include "sardinespoke/prefix_feed.h"

#include <memory>
#include <string>

namespace sardinespoke {

/// The entry host that is the leader: the owner of all pools.
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
  /// Larger on weak hosts, so that stronger ones campaign first.
  std::chrono::milliseconds campaignDelay_{ 0 };
};

/// Leader election by a record in the store that is bound to a lease. The record's revision is the
/// leader's fencing token: it rises with every change of leader.
///
/// The lease counts from when its renewal was sent, on a clock that includes suspensions of the
/// process, so that a leader that was suspended knows that it must renew first. A leader whose
/// renewals get no response continues with its fencing token until a backend server has seen a
/// higher one: it cannot distinguish an outage of the store from its own isolation, and running
/// work must not stop in an outage of the store.
class Leadership
{
public:
  Leadership(RecordStoreI& aStore, const ClockI& aClock, LeadershipSettings aSettings);

  void Tick();

  bool IsLeader() const { return isLeader_; }
  int64_t FencingToken() const { return fencingToken_; }

  /// @returns The leader's record as a precondition for each of its transactions.
  RecordPrecondition LeaderRecordPrecondition() const
  {
    return RecordPrecondition{ settings_.key_, fencingToken_ };
  }

  /// @returns True if the lease is still valid by this host's clock, so that no other host can be
  /// the leader unless the platform took the record away.
  bool HoldsValidLease() const;

  /// @returns How certain it is that no other host is the leader.
  LeaseState Lease() const;

  /// @returns True if commands may be sent: the lease is valid, or the store does not respond and
  /// the process was not suspended past the end of the lease.
  bool MaySendCommands() const;

  /// Call after the process was suspended.
  void OnProcessPause();

  /// Ends the leadership: another leader was seen, or the leader's record is gone or not ours.
  void StepDown(const char* aReason);

  /// Deletes the leader's record, so that another host takes over at once.
  /// @param aHandover Its fencing token is filled in.
  void Resign(Handover aHandover = {});

  const LeaderInfo& Leader() const { return leader_; }

  /// @returns The handover of the last leader, or nullptr if it has not resigned.
  const Handover* Inherited() const;

  /// @returns Key of the record in which a leader that resigns leaves a handover.
  std::string ResignedKey() const { return settings_.key_ + "-resigned"; }

  /// @returns How long a leader that lost its record may still consider itself the leader.
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
  bool mustRenewFirst_ = false; ///< A suspension may have outlasted the lease.
  int64_t fencingToken_ = 0;
  int64_t predecessorFencingToken_ = 0; ///< Of the last other leader that was seen; 0: none.
  Handover handover_;                   ///< As read before the last campaign.
  uint64_t lease_ = 0;
  TimePoint leaseSent_{};
  TimePoint validUntil_{};
  TimePoint nextRenewal_{};
  TimePoint nextCampaign_{};
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}
