#pragma once

#include "sardinespoke/clock.h"
#include "sardinespoke/request_claims.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace sardinespoke {

/// A request id `<issuer entry host>.<issuer process>.<counter>`.
struct RequestId
{
  std::string issuer_;
  std::string process_;
  uint64_t counter_ = 0;

  /// @returns The parsed id; empty if the text is not in canonical form.
  static std::optional<RequestId> Parse(const std::string& aText);
  std::string Text() const;
};

/// Bounds of a RequestIdTable.
struct RequestIdLimits
{
  size_t maxIds_ = 65536;
  std::chrono::milliseconds maxAge_{ 600000 };
  size_t maxResponseBytes_ = 16 << 10; ///< Larger responses are not cached.
  size_t maxTotalBytes_ = 16 << 20;    ///< Of all cached responses; the oldest are evicted first.
};

/// States of the request ids that one daemon issued (docs/design.md, 5.3). Performs no I/O.
///
/// A nonce identifies each attempt, so that a duplicate or late claim or result has no effect.
class RequestIdTable
{
public:
  RequestIdTable(std::string aIssuer, std::string aProcess, RequestIdLimits aLimits = {});

  std::vector<std::string> Issue(uint32_t aCount, TimePoint aNow);

  ClaimReply Claim(const RequestId& aId, const std::string& aNonce, TimePoint aNow);

  /// Reports the result of an attempt. Only the attempt that holds the claim changes the state.
  /// NotRun also bars the attempt from claiming the id later.
  void Finish(const RequestId& aId,
              const std::string& aNonce,
              ClaimResult aResult,
              const std::optional<BackendResponse>& aResponse,
              TimePoint aNow);

  size_t Size() const { return entries_.size(); }
  size_t CachedResponseBytes() const { return cachedResponseBytes_; }

private:
  enum class State
  {
    Unclaimed, ///< Newly issued, or reported as not run.
    Claimed,
    Finished,
    Unknown,
    Count
  };

  struct Entry
  {
    TimePoint issuedAt_;
    State state_ = State::Unclaimed;
    std::string nonce_;         ///< Attempt that holds or held the claim.
    std::string releasedNonce_; ///< Latest attempt that was reported as not run.
    std::optional<BackendResponse> response_;
  };

  /// @returns The entry; null if the id was not issued, was evicted or has expired.
  Entry* Find(const RequestId& aId);
  void Expire(TimePoint aNow);
  void EvictOldest();
  void CacheResponse(Entry& aEntry, uint64_t aCounter, const BackendResponse& aResponse);
  void DropCachedResponse(Entry& aEntry);

  const std::string issuer_;
  const std::string process_;
  const RequestIdLimits limits_;
  std::deque<Entry> entries_;            ///< Ordered by counter, without gaps.
  uint64_t firstCounter_ = 1;            ///< Counter of entries_.front().
  std::deque<uint64_t> cachedResponses_; ///< Counters of ids with a cached response, oldest first.
  size_t cachedResponseBytes_ = 0;
};

/// @returns The size of a response in the cache, in bytes.
size_t
ResponseSize(const BackendResponse& aResponse);

}
