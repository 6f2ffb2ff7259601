#pragma once

#include "sardinespoke/peer_link.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <utility>

namespace sardinespoke {

/// Peer links between several nodes of one test, with faults. Messages pass through CBOR, as on the
/// real link. Thread-safe, but faults are meant to be set between calls.
class FakePeerNetwork
{
public:
  /// Called for each message; may change the reply, to simulate a faulty peer.
  using ReplyFilter = std::function<void(const std::string& aFrom,
                                         const std::string& aTo,
                                         const nlohmann::json& aMessage,
                                         nlohmann::json& aReply)>;

  /// @param aAddress Address of the node; a node that is created again replaces the earlier one.
  /// @returns The node's link. It must not outlive the network.
  std::unique_ptr<PeerLinkI> Connect(const std::string& aAddress);

  /// Cuts or restores both directions between two nodes.
  void Partition(const std::string& aOne, const std::string& aOther, bool aCut = true);
  /// Cuts a node off from all others, or restores it.
  void Isolate(const std::string& aAddress, bool aCut = true);
  /// Delivers each message twice; the second reply is the one that is returned.
  void SetDuplicateDelivery(bool aTwice) { duplicateDelivery_ = aTwice; }
  /// Delivers messages but drops the next replies.
  void DropReplies(int aCount) { repliesToDrop_ = aCount; }
  /// Called between the delivery of a message and the return of its reply, for example to advance a
  /// clock as if the caller had been paused meanwhile.
  void SetBeforeReply(std::function<void(const std::string& aFrom)> aDelay)
  {
    delay_ = std::move(aDelay);
  }
  /// Answers Confirm on behalf of nodes that can't be reached, as if they had no store either.
  void SetUnreachableConfirms(bool aAgrees) { unreachableConfirms_ = aAgrees; }
  void SetReplyFilter(ReplyFilter aFilter) { filter_ = std::move(aFilter); }

  /// @returns Bytes of CBOR that a node has sent, requests and replies.
  uint64_t BytesSent(const std::string& aAddress) const;
  /// @returns Calls by message type, delivered or not.
  uint64_t Calls(const std::string& aType) const;

private:
  class Link;

  leaf::result<nlohmann::json> Deliver(const std::string& aFrom,
                                       const std::string& aTo,
                                       const nlohmann::json& aMessage);
  bool IsBlocked(const std::string& aFrom, const std::string& aTo) const;

  mutable std::recursive_mutex mutex_;
  std::map<std::string, std::map<std::string, PeerLinkI::Handler>> handlers_;
  std::set<std::pair<std::string, std::string>> partitions_;
  std::set<std::string> isolated_;
  std::map<std::string, uint64_t> bytes_;
  std::map<std::string, uint64_t> calls_;
  std::function<void(const std::string&)> delay_;
  ReplyFilter filter_;
  bool duplicateDelivery_ = false;
  bool unreachableConfirms_ = false;
  int repliesToDrop_ = 0;
};

}
