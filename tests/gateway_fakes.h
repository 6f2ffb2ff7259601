#pragma once

#include "sardinespoke/backend_link.h"
#include "sardinespoke/dispatcher.h"
#include "sardinespoke/event_log.h"
#include "sardinespoke/request_claims.h"

#include <algorithm>
#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

namespace sardinespoke {

/// Grants the first grants_ requests a slot and records the results of the attempts.
class FakeDispatcher final : public DispatcherI
{
public:
  leaf::result<Grant> Acquire(const WorkItem& aItem) override
  {
    const std::lock_guard lock(mutex_);
    items_.push_back(aItem);
    if (items_.size() > grants_) {
      return leaf::new_error(refusal_);
    }
    Grant grant;
    grant.id_ = items_.size();
    grant.host_ = "host" + std::to_string(grant.id_);
    grant.address_ = address_;
    grant.runLimit_ = std::chrono::seconds(5);
    return grant;
  }
  bool MayStart(const Grant&) override { return mayStart_; }
  void Release(const Grant&, AttemptResult aResult, std::chrono::nanoseconds) override
  {
    const std::lock_guard lock(mutex_);
    results_.push_back(aResult);
  }

  std::string address_ = "127.0.0.1:1";
  size_t grants_ = 100; ///< Later requests get refusal_.
  AdmissionError refusal_{ AdmissionError::Code::QueueFull, "the queue is full" };
  std::atomic<bool> mayStart_{ true };
  std::vector<WorkItem> items_;
  std::vector<AttemptResult> results_;

private:
  std::mutex mutex_;
};

/// Returns the prepared results in order, then repeats the last one.
class FakeBackendLink final : public BackendLinkI
{
public:
  using Step = std::function<leaf::result<BackendResponse>(const BackendRequest&)>;

  leaf::result<BackendResponse> Send(const BackendRequest& aRequest) override
  {
    size_t index = 0;
    {
      const std::lock_guard lock(mutex_);
      index = std::min(requests_.size(), steps_.size() - 1);
      requests_.push_back(aRequest);
    }
    return steps_.at(index)(aRequest);
  }

  static Step Fail(BackendError::Code aCode)
  {
    return [aCode](const BackendRequest&) -> leaf::result<BackendResponse> {
      return leaf::new_error(BackendError{ aCode, "prepared failure" });
    };
  }
  static Step Respond(BackendResponse aResponse)
  {
    return [response = std::move(aResponse)](
             const BackendRequest&) -> leaf::result<BackendResponse> { return response; };
  }

  std::vector<Step> steps_{ Respond({ 200, {}, "done" }) };
  std::vector<BackendRequest> requests_;

private:
  std::mutex mutex_;
};

/// Grants every claim without a prepared reply and records the results.
class FakeClaims final : public RequestClaimsI
{
public:
  std::vector<std::string> Issue(uint32_t aCount) override
  {
    return std::vector<std::string>(aCount, "e1.1.7");
  }
  ClaimReply Claim(const std::string& aId) override
  {
    const std::lock_guard lock(mutex_);
    const auto found = replies_.find(aId);
    return found == replies_.end() ? ClaimReply{ ClaimState::Granted, {} } : found->second;
  }
  void Finish(const std::string& aId,
              ClaimResult aResult,
              const std::optional<BackendResponse>& aResponse) override
  {
    const std::lock_guard lock(mutex_);
    if (failsToFinish_) {
      throw std::runtime_error("prepared fault");
    }
    finished_.emplace_back(aId, aResult);
    finishedResponse_ = aResponse;
  }

  std::map<std::string, ClaimReply> replies_;
  std::vector<std::pair<std::string, ClaimResult>> finished_;
  std::optional<BackendResponse> finishedResponse_;
  bool failsToFinish_ = false;

private:
  std::mutex mutex_;
};

/// Discards all events.
class NullEventLog final : public EventLogI
{
public:
  void Record(const std::string&, const std::string&, nlohmann::json) override {}
  std::vector<Event> After(uint64_t) const override { return {}; }
  uint64_t HybridTime() override { return 0; }
  void Observe(uint64_t) override {}
};

}
