#include "sardinespoke/request_ids.h"

#include <algorithm>
#include <charconv>

namespace sardinespoke {

std::optional<RequestId>
RequestId::Parse(const std::string& aText)
{
  const size_t second = aText.rfind('.');
  if (second == std::string::npos || second == 0) {
    return std::nullopt;
  }
  const size_t first = aText.rfind('.', second - 1);
  if (first == std::string::npos || first == 0 || first + 1 == second) {
    return std::nullopt;
  }
  RequestId id{ aText.substr(0, first), aText.substr(first + 1, second - first - 1), 0 };
  const char* end = aText.data() + aText.size();
  const auto result = std::from_chars(aText.data() + second + 1, end, id.counter_);
  // Accepts only the canonical form that Issue() writes, so that no id has two spellings.
  if (result.ec != std::errc() || result.ptr != end || id.Text() != aText) {
    return std::nullopt;
  }
  return id;
}

std::string
RequestId::Text() const
{
  return issuer_ + "." + process_ + "." + std::to_string(counter_);
}

size_t
ResponseSize(const BackendResponse& aResponse)
{
  size_t size = aResponse.body_.size();
  for (const auto& [name, value] : aResponse.headers_) {
    size += name.size() + value.size();
  }
  return size;
}

RequestIdTable::RequestIdTable(std::string aIssuer, std::string aProcess, RequestIdLimits aLimits)
  : issuer_(std::move(aIssuer))
  , process_(std::move(aProcess))
  , limits_(aLimits)
{
}

std::vector<std::string>
RequestIdTable::Issue(uint32_t aCount, TimePoint aNow)
{
  Expire(aNow);
  std::vector<std::string> ids;
  for (uint32_t count = 0; count < aCount; ++count) {
    if (entries_.size() >= limits_.maxIds_) {
      EvictOldest();
    }
    ids.push_back(RequestId{ issuer_, process_, firstCounter_ + entries_.size() }.Text());
    entries_.push_back({ .issuedAt_ = aNow, .nonce_ = {}, .releasedNonce_ = {}, .response_ = {} });
  }
  return ids;
}

ClaimReply
RequestIdTable::Claim(const RequestId& aId, const std::string& aNonce, TimePoint aNow)
{
  Expire(aNow);
  if (aId.issuer_ != issuer_ || aId.process_ != process_) {
    return { ClaimState::Unknown, std::nullopt };
  }
  if (aId.counter_ == 0 || aId.counter_ >= firstCounter_ + entries_.size()) {
    return { ClaimState::Malformed, std::nullopt };
  }
  Entry* entry = Find(aId);
  if (!entry) {
    return { ClaimState::Unknown, std::nullopt };
  }
  switch (entry->state_) {
    case State::Unclaimed:
      if (aNonce == entry->releasedNonce_) {
        return { ClaimState::Unknown, std::nullopt };
      }
      entry->state_ = State::Claimed;
      entry->nonce_ = aNonce;
      return { ClaimState::Granted, std::nullopt };
    case State::Claimed:
      return { aNonce == entry->nonce_ ? ClaimState::Granted : ClaimState::Running, std::nullopt };
    case State::Finished:
      return { ClaimState::Finished, entry->response_ };
    default:
      return { ClaimState::Unknown, std::nullopt };
  }
}

void
RequestIdTable::Finish(const RequestId& aId,
                       const std::string& aNonce,
                       ClaimResult aResult,
                       const std::optional<BackendResponse>& aResponse,
                       TimePoint aNow)
{
  Expire(aNow);
  Entry* entry = Find(aId);
  if (!entry) {
    return;
  }
  if (aResult == ClaimResult::NotRun) {
    entry->releasedNonce_ = aNonce;
  }
  if (entry->state_ != State::Claimed || entry->nonce_ != aNonce) {
    return;
  }
  switch (aResult) {
    case ClaimResult::NotRun:
      entry->state_ = State::Unclaimed;
      break;
    case ClaimResult::Ran:
      entry->state_ = State::Finished;
      if (aResponse) {
        CacheResponse(*entry, aId.counter_, *aResponse);
      }
      break;
    default:
      entry->state_ = State::Unknown;
      break;
  }
}

RequestIdTable::Entry*
RequestIdTable::Find(const RequestId& aId)
{
  const bool own = aId.issuer_ == issuer_ && aId.process_ == process_;
  if (!own || aId.counter_ < firstCounter_ || aId.counter_ >= firstCounter_ + entries_.size()) {
    return nullptr;
  }
  return &entries_[aId.counter_ - firstCounter_];
}

void
RequestIdTable::Expire(TimePoint aNow)
{
  while (!entries_.empty() && aNow - entries_.front().issuedAt_ >= limits_.maxAge_) {
    EvictOldest();
  }
}

void
RequestIdTable::EvictOldest()
{
  DropCachedResponse(entries_.front());
  entries_.pop_front();
  ++firstCounter_;
}

void
RequestIdTable::CacheResponse(Entry& aEntry, uint64_t aCounter, const BackendResponse& aResponse)
{
  const size_t size = ResponseSize(aResponse);
  if (size > limits_.maxResponseBytes_) {
    return;
  }
  aEntry.response_ = aResponse;
  cachedResponseBytes_ += size;
  cachedResponses_.push_back(aCounter);
  while (cachedResponseBytes_ > limits_.maxTotalBytes_) {
    const uint64_t oldest = cachedResponses_.front();
    cachedResponses_.pop_front();
    if (oldest >= firstCounter_) {
      DropCachedResponse(entries_[oldest - firstCounter_]);
    }
  }
}

void
RequestIdTable::DropCachedResponse(Entry& aEntry)
{
  if (aEntry.response_) {
    cachedResponseBytes_ -= ResponseSize(*aEntry.response_);
    aEntry.response_.reset();
  }
}

}
