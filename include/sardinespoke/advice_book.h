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

/// Remembers on which backend servers the steps of advised queues may run, and asks the advice
/// service for what is not known.
///
/// The service decides slowly, takes one call at a time and gives tickets that expire. So calls
/// name as many backend servers as one call may, the emptiest first, and a step whose allowed
/// backend servers are known asks only for fresh tickets of these.
class AdviceBook
{
public:
  AdviceBook(BackendCommandsI& aOrders, const ClockI& aClock);

  /// Asks about a step if its present tickets do not suffice.
  /// @param aStep "JOB.OCCURRENCE.STEP".
  /// @param aPool Backend servers that could run it, the best first.
  /// @param aTasks Tasks that wait for a place.
  void Want(const std::string& aStep,
            const QueuePolicy& aQueue,
            const std::vector<std::string>& aPool,
            size_t aTasks);

  /// @returns A ticket that is valid long enough for a start, or an empty text.
  std::string Ticket(const std::string& aStep, const std::string& aBackend) const;

  /// A backend server has refused the ticket.
  void Refused(const std::string& aStep, const std::string& aBackend);

  /// Sends the next question, if any.
  void Tick();

  /// Forgets the steps of a job.
  void Forget(const std::string& aJob);

  /// @returns True once after each answer.
  bool TakeChanged();

private:
  struct Grant
  {
    std::string ticket_;
    TimePoint validUntil_{};
  };
  struct Known
  {
    std::map<std::string, Grant> allowed_; ///< By backend server.
    std::set<std::string> asked_;          ///< Also those that are not allowed.
    bool queued_ = false;
  };

  size_t Valid(const Known& aKnown) const;
  void OnAdvice(const AdviceQuery& aQuery, TimePoint aSent, const AdviceResult& aResult);

  BackendCommandsI& commands_;
  const ClockI& clock_;
  std::map<std::string, Known> steps_;
  std::deque<AdviceQuery> queue_;
  bool asking_ = false;
  bool changed_ = false;
  TimePoint next_{};
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}
