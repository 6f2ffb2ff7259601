#pragma once

#include "sardinespoke/errors.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <functional>
#include <string>

namespace sardinespoke {

/// Remote calls between entry hosts. Messages are maps with a "type" field, encoded as CBOR.
/// Errors: PeerError.
class PeerLinkI
{
public:
  using Handler = std::function<leaf::result<nlohmann::json>(const nlohmann::json&)>;

  virtual ~PeerLinkI() = default;

  /// Sends a message and waits for the reply.
  /// @param aAddress "ip:port" of the peer.
  /// @param aMessage Must have a string field "type"; may be delivered more than once.
  virtual leaf::result<nlohmann::json> Call(const std::string& aAddress,
                                            const nlohmann::json& aMessage,
                                            std::chrono::milliseconds aTimeout) = 0;

  /// Sets the handler for one message type; call before the link is started.
  virtual void Handle(const std::string& aType, Handler aHandler) = 0;
};

}
