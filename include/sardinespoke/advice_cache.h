#pragma once

#include "sardinespoke/backend_table.h"
#include "sardinespoke/clock.h"

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace sardinespoke {

/// Caches on which backend servers the steps of advised queues may run, and queries the advice
/// service for missing entries.
///
/// The service is slow, accepts one call at a time and issues tickets that expire. Each query
/// therefore names as many backend servers as allowed, the least utilized first. Once the allowed
/// backend servers of a step are known, only their tickets are renewed.
class AdviceCache
{
public:
  AdviceCache(BackendCommandsI& aCommands, const ClockI& aClock);

  /// Queues a query for a step that has no valid ticket.
  /// @param aStep "JOB.OCCURRENCE.STEP".
  /// @param aPool Backend servers that could run it, best first.
  /// @param aTasks Number of tasks that are waiting; no query is queued for 0.
  void QueryIfNeeded(const std::string& aStep,
                     const QueuePolicy& aQueue,
                     const std::vector<std::string>& aPool,
                     size_t aTasks);

  /// @returns A ticket that stays valid long enough to start a task; empty if there is none.
  std::string Ticket(const std::string& aStep, const std::string& aBackend) const;

  /// Invalidates a ticket that the backend server refused.
  void Refused(const std::string& aStep, const std::string& aBackend);

  /// Sends the next queued query, one at a time.
  void Tick();

  /// Removes the entries of a job.
  void Forget(const std::string& aJob);

  /// @returns True if a response arrived since the last call.
  bool TakeChanged();

private:
  struct Grant
  {
    std::string ticket_;
    TimePoint validUntil_{};
  };
  struct StepAdvice
  {
    std::map<std::string, Grant> allowed_;  ///< By backend server.
    std::set<std::string> queriedBackends_; ///< Includes those that are not allowed.
    bool queryPending_ = false;
  };

  size_t CountValidTickets(const StepAdvice& aKnown) const;
  void OnAdvice(const AdviceQuery& aQuery, TimePoint aSent, const AdviceResult& aResult);

  BackendCommandsI& commands_;
  const ClockI& clock_;
  std::map<std::string, StepAdvice> steps_;
  std::deque<AdviceQuery> pendingQueries_;
  bool queryInFlight_ = false;
  bool changed_ = false;
  TimePoint nextQueryAt_{};
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}
