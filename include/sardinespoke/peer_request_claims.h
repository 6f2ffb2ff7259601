#pragma once

#include "sardinespoke/clock.h"
#include "sardinespoke/peer_link.h"
#include "sardinespoke/request_ids.h"

#include <functional>
#include <map>
#include <mutex>

namespace sardinespoke {

/// Lookup functions for the other entry hosts.
struct PeerDirectory
{
  /// Returns the peer address of an entry host id; empty if the id is unknown.
  std::function<std::string(const std::string&)> address_;
  /// Returns whether messages from an entry host id are accepted.
  std::function<bool(const std::string&)> known_;
};

/// Issues request ids, and claims ids at the entry host that issued them over the peer link.
class PeerRequestClaims final : public RequestClaimsI
{
public:
  static constexpr std::chrono::milliseconds kTimeout{ 500 };
  static constexpr uint32_t kMaxBatch = 1000;

  /// Registers the handlers of "Claim" and "ClaimResult"; all references must outlive the object.
  /// @param aId Id of this entry host.
  /// @param aProcess Unique per start of the daemon, without '.'.
  PeerRequestClaims(std::string aId,
                    const std::string& aProcess,
                    PeerLinkI& aPeers,
                    const ClockI& aClock,
                    PeerDirectory aDirectory,
                    RequestIdLimits aLimits = {});

  std::vector<std::string> Issue(uint32_t aCount) override;
  ClaimReply Claim(const std::string& aId) override;
  void Finish(const std::string& aId,
              ClaimResult aResult,
              const std::optional<BackendResponse>& aResponse) override;

private:
  ClaimReply ClaimAtIssuer(const RequestId& aId, const std::string& aNonce);
  /// @returns Whether the issuer has confirmed the result.
  bool SendResult(const RequestId& aId,
                  const std::string& aNonce,
                  ClaimResult aResult,
                  const std::optional<BackendResponse>& aResponse);
  leaf::result<nlohmann::json> CallIssuer(const RequestId& aId, const nlohmann::json& aMessage);
  leaf::result<nlohmann::json> OnClaim(const nlohmann::json& aMessage);
  leaf::result<nlohmann::json> OnClaimResult(const nlohmann::json& aMessage);
  leaf::result<RequestId> CheckMessage(const nlohmann::json& aMessage) const;
  std::string NextNonce();

  const std::string id_;
  const std::string noncePrefix_;
  PeerLinkI& peers_;
  const ClockI& clock_;
  const PeerDirectory directory_;
  const RequestIdLimits limits_;
  std::mutex mutex_;
  RequestIdTable table_;
  std::map<std::string, std::string> heldNonces_; ///< Nonces of held claims, by request id.
  uint64_t nonce_ = 0;
};

}
