#include "fake_peer_network.h"

namespace sardinespoke {

namespace {

auto
Fail(PeerError::Code aCode, const std::string& aMessage)
{
  return leaf::new_error(PeerError{ aCode, aMessage });
}

nlohmann::json
MakeConfirmReply(const std::string& aId, const nlohmann::json& aMessage)
{
  return { { "id", aId },
           { "profiles_revision", aMessage.at("profiles_revision") },
           { "fleet_revision", aMessage.at("fleet_revision") },
           { "store", { { "reachable", false } } },
           { "list", { { "reachable", false } } },
           { "roster_digest", aMessage.at("roster_digest") },
           { "leaving_digest", aMessage.at("leaving_digest") },
           { "may_sponsor", false },
           { "hybrid_time", 0 } };
}

}

class FakePeerNetwork::Link final : public PeerLinkI
{
public:
  Link(FakePeerNetwork& aNetwork, std::string aAddress)
    : network_(aNetwork)
    , address_(std::move(aAddress))
  {
    network_.handlers_[address_] = {};
  }

  ~Link() override
  {
    const std::lock_guard lock(network_.mutex_);
    network_.handlers_.erase(address_);
  }

  leaf::result<nlohmann::json> Call(const std::string& aAddress,
                                    const nlohmann::json& aMessage,
                                    std::chrono::milliseconds) override
  {
    return network_.Deliver(address_, aAddress, aMessage);
  }

  void Handle(const std::string& aType, Handler aHandler) override
  {
    const std::lock_guard lock(network_.mutex_);
    network_.handlers_[address_][aType] = std::move(aHandler);
  }

private:
  FakePeerNetwork& network_;
  const std::string address_;
};

std::unique_ptr<PeerLinkI>
FakePeerNetwork::Connect(const std::string& aAddress)
{
  const std::lock_guard lock(mutex_);
  return std::make_unique<Link>(*this, aAddress);
}

void
FakePeerNetwork::Partition(const std::string& aOne, const std::string& aOther, bool aBlocked)
{
  const std::lock_guard lock(mutex_);
  for (const auto& pair : { std::pair(aOne, aOther), std::pair(aOther, aOne) }) {
    if (aBlocked) {
      partitions_.insert(pair);
    } else {
      partitions_.erase(pair);
    }
  }
}

void
FakePeerNetwork::Isolate(const std::string& aAddress, bool aBlocked)
{
  const std::lock_guard lock(mutex_);
  if (aBlocked) {
    isolated_.insert(aAddress);
  } else {
    isolated_.erase(aAddress);
  }
}

uint64_t
FakePeerNetwork::BytesSent(const std::string& aAddress) const
{
  const std::lock_guard lock(mutex_);
  auto found = bytes_.find(aAddress);
  return found == bytes_.end() ? 0 : found->second;
}

uint64_t
FakePeerNetwork::Calls(const std::string& aType) const
{
  const std::lock_guard lock(mutex_);
  auto found = calls_.find(aType);
  return found == calls_.end() ? 0 : found->second;
}

bool
FakePeerNetwork::IsBlocked(const std::string& aFrom, const std::string& aTo) const
{
  return isolated_.contains(aFrom) || isolated_.contains(aTo) ||
         partitions_.contains({ aFrom, aTo });
}

leaf::result<nlohmann::json>
FakePeerNetwork::Deliver(const std::string& aFrom,
                         const std::string& aTo,
                         const nlohmann::json& aMessage)
{
  const std::lock_guard lock(mutex_);
  const std::string type = aMessage.at("type").get<std::string>();
  ++calls_[type];
  auto node = handlers_.find(aTo);
  if (unreachableConfirms_ && type == "Confirm" && IsBlocked(aFrom, aTo)) {
    return MakeConfirmReply(aTo.substr(aTo.find(':') + 1), aMessage);
  }
  if (node == handlers_.end() || IsBlocked(aFrom, aTo)) {
    return Fail(PeerError::Code::Unreachable, aTo + " is not reachable");
  }
  auto handler = node->second.find(type);
  if (handler == node->second.end()) {
    return Fail(PeerError::Code::Refused, "unknown type " + type);
  }
  const std::vector<uint8_t> request = nlohmann::json::to_cbor(aMessage);
  bytes_[aFrom] += request.size();
  if (duplicateDelivery_) {
    BOOST_LEAF_CHECK(handler->second(nlohmann::json::from_cbor(request)));
  }
  BOOST_LEAF_AUTO(reply, handler->second(nlohmann::json::from_cbor(request)));
  const std::vector<uint8_t> encoded = nlohmann::json::to_cbor(reply);
  bytes_[aTo] += encoded.size();
  if (delay_) {
    delay_(aFrom);
  }
  if (repliesToDrop_ > 0) {
    --repliesToDrop_;
    return Fail(PeerError::Code::Timeout, "the reply was lost");
  }
  nlohmann::json result = nlohmann::json::from_cbor(encoded);
  if (filter_) {
    filter_(aFrom, aTo, aMessage, result);
  }
  return result;
}

}
