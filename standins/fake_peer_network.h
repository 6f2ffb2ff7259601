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

/// In-memory peer links between the nodes of a test, with fault injection. Messages are encoded as
/// CBOR, as on the real link. Thread-safe, but faults must only be changed between calls.
class FakePeerNetwork
{
public:
  /// Called for each message; may modify the reply to simulate a faulty peer.
  using ReplyFilter = std::function<void(const std::string& aFrom,
                                         const std::string& aTo,
                                         const nlohmann::json& aMessage,
                                         nlohmann::json& aReply)>;

  /// @param aAddress Address of the node; connecting again replaces the earlier link.
  /// @returns The node's link. It must not outlive the network.
  std::unique_ptr<PeerLinkI> Connect(const std::string& aAddress);

  /// Blocks or restores both directions between two nodes.
  void Partition(const std::string& aOne, const std::string& aOther, bool aBlocked = true);
  /// Disconnects a node from all others, or reconnects it.
  void Isolate(const std::string& aAddress, bool aBlocked = true);
  /// Delivers each message twice and returns the second reply.
  void SetDuplicateDelivery(bool aDuplicate) { duplicateDelivery_ = aDuplicate; }
  /// Delivers messages, but drops the next aCount replies.
  void DropReplies(int aCount) { repliesToDrop_ = aCount; }
  /// Sets a hook between the delivery of a message and the return of its reply, for example to
  /// advance a clock as if the caller had been paused in between.
  void SetBeforeReply(std::function<void(const std::string& aFrom)> aHook)
  {
    delay_ = std::move(aHook);
  }
  /// Replies to Confirm on behalf of unreachable nodes, as if they could not reach the store
  /// either.
  void SetUnreachableConfirms(bool aConfirms) { unreachableConfirms_ = aConfirms; }
  void SetReplyFilter(ReplyFilter aFilter) { filter_ = std::move(aFilter); }

  /// @returns Bytes of CBOR that a node has sent in requests and replies.
  uint64_t BytesSent(const std::string& aAddress) const;
  /// @returns Number of calls of a message type, including undelivered ones.
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
