#include "sardinespoke/intake_budget.h"

#include <tuple>
#include <utility>

namespace sardinespoke {

namespace {

// Of the thread of a connection and the kernel's accounting of it.
constexpr uint64_t kThreadBytes = 32U << 10U;

}

IntakeBudget::IntakeBudget(IntakeLimits aLimits, const ClockI& aClock)
  : limits_(aLimits)
  , connectionBytes_(kThreadBytes + aLimits.maxHeadBytes_)
  , clock_(aClock)
{
}

IntakeBudget::ConnectionId
IntakeBudget::Open(const std::string& aAddress, Closer aClose)
{
  const std::lock_guard lock(mutex_);
  CloseOverdue();
  const ConnectionId id = nextId_++;
  Connection& connection = connections_[id];
  connection.address_ = aAddress;
  connection.close_ = std::move(aClose);
  SetPhase(connection, Phase::Idle);
  SetBytes(connection, connectionBytes_);
  counters_.connections_ = connections_.size();
  if (connections_.size() - closing_ > limits_.maxConnections_) {
    const auto victim = FindVictim();
    if (victim != connections_.end()) {
      ++counters_.closedForConnections_;
      Shut(victim->second);
    }
  }
  MakeRoom(id, 0);
  return id;
}

void
IntakeBudget::Close(ConnectionId aConnection)
{
  const std::lock_guard lock(mutex_);
  const auto found = connections_.find(aConnection);
  if (found == connections_.end()) {
    return;
  }
  SetBytes(found->second, 0);
  closing_ -= found->second.isClosing_ ? 1 : 0;
  connections_.erase(found);
  counters_.connections_ = connections_.size();
}

bool
IntakeBudget::Receive(ConnectionId aConnection, uint64_t aBytes)
{
  const std::lock_guard lock(mutex_);
  Connection& connection = connections_.at(aConnection);
  if (connection.phase_ != Phase::Body) {
    SetPhase(connection, Phase::Body);
  }
  connection.progressAt_ = clock_.Now();
  if (connection.isClosing_) {
    return false;
  }
  if (!MakeRoom(aConnection, aBytes)) {
    ++counters_.closedForBytes_;
    return false;
  }
  SetBytes(connection, connection.bytes_ + aBytes);
  return true;
}

bool
IntakeBudget::BeginWork(ConnectionId aConnection, uint64_t aBytes)
{
  const std::lock_guard lock(mutex_);
  Connection& connection = connections_.at(aConnection);
  if (connection.isClosing_) {
    return false;
  }
  SetPhase(connection, Phase::Work);
  const uint64_t needed = connectionBytes_ + aBytes;
  const uint64_t more = needed > connection.bytes_ ? needed - connection.bytes_ : 0;
  if (!MakeRoom(aConnection, more)) {
    ++counters_.refused_;
    return false;
  }
  SetBytes(connection, needed);
  return true;
}

void
IntakeBudget::BeginResponse(ConnectionId aConnection, uint64_t aBytes)
{
  const std::lock_guard lock(mutex_);
  Connection& connection = connections_.at(aConnection);
  SetPhase(connection, Phase::Response);
  SetBytes(connection, connectionBytes_ + aBytes);
}

void
IntakeBudget::EndRequest(ConnectionId aConnection)
{
  const std::lock_guard lock(mutex_);
  const auto found = connections_.find(aConnection);
  if (found == connections_.end()) {
    return;
  }
  SetPhase(found->second, Phase::Idle);
  SetBytes(found->second, connectionBytes_);
}

void
IntakeBudget::CloseOverdue()
{
  const TimePoint now = clock_.Now();
  for (auto& [id, connection] : connections_) {
    if (!connection.isClosing_ && IsOverdue(connection, now)) {
      ++counters_.closedForTime_;
      Shut(connection);
    }
  }
}

IntakeCounters
IntakeBudget::Counters() const
{
  const std::lock_guard lock(mutex_);
  return counters_;
}

void
IntakeBudget::SetBytes(Connection& aConnection, uint64_t aBytes)
{
  uint64_t& ofAddress = bytesOf_[aConnection.address_];
  ofAddress += aBytes - aConnection.bytes_;
  counters_.bytes_ += aBytes - aConnection.bytes_;
  aConnection.bytes_ = aBytes;
  if (ofAddress == 0) {
    bytesOf_.erase(aConnection.address_);
  }
}

void
IntakeBudget::SetPhase(Connection& aConnection, Phase aPhase)
{
  aConnection.phase_ = aPhase;
  aConnection.phaseBegin_ = clock_.Now();
  aConnection.progressAt_ = aConnection.phaseBegin_;
}

bool
IntakeBudget::MakeRoom(ConnectionId aFor, uint64_t aBytes)
{
  if (counters_.bytes_ + aBytes <= limits_.budgetBytes_) {
    return true;
  }
  // The bytes of a connection that was told to close are freed as soon as its thread has seen it.
  uint64_t freed = 0;
  uint64_t closable = 0;
  for (const auto& [id, connection] : connections_) {
    const bool isInWork = connection.phase_ == Phase::Work;
    freed += connection.isClosing_ ? connection.bytes_ : 0;
    closable += connection.isClosing_ || isInWork || id == aFor ? 0 : connection.bytes_;
  }
  if (aBytes > 0 && counters_.bytes_ + aBytes > limits_.budgetBytes_ + freed + closable) {
    return false; // Closing all others would not make enough room.
  }
  while (counters_.bytes_ + aBytes > limits_.budgetBytes_ + freed) {
    const auto victim = FindVictim();
    if (victim == connections_.end() || victim->first == aFor) {
      return false;
    }
    ++counters_.closedForBytes_;
    freed += victim->second.bytes_;
    Shut(victim->second);
  }
  return true;
}

IntakeBudget::Connections::iterator
IntakeBudget::FindVictim()
{
  const uint64_t share = limits_.budgetBytes_ * limits_.addressPercent_ / 100;
  // The first of these that applies to any connection decides: over its share or not, an
  // unfinished request or an idle connection, how long it has made no progress.
  const auto order = [this, share](const Connection& aConnection) {
    const bool isWithinShare = bytesOf_.at(aConnection.address_) <= share;
    return std::make_tuple(
      isWithinShare, aConnection.phase_ == Phase::Idle, aConnection.progressAt_);
  };
  auto victim = connections_.end();
  for (auto candidate = connections_.begin(); candidate != connections_.end(); ++candidate) {
    if (candidate->second.isClosing_ || candidate->second.phase_ == Phase::Work) {
      continue;
    }
    if (victim == connections_.end() || order(candidate->second) < order(victim->second)) {
      victim = candidate;
    }
  }
  return victim;
}

void
IntakeBudget::Shut(Connection& aConnection)
{
  aConnection.isClosing_ = true;
  ++closing_;
  aConnection.close_();
}

bool
IntakeBudget::IsOverdue(const Connection& aConnection, TimePoint aNow) const
{
  const auto age = aNow - aConnection.phaseBegin_;
  const std::chrono::milliseconds transfer((aConnection.bytes_ - connectionBytes_) * 1000 /
                                           limits_.leastBytesPerSecond_);
  switch (aConnection.phase_) {
    case Phase::Idle:
      return age > limits_.headTimeout_;
    case Phase::Body:
    case Phase::Response:
      return age > limits_.transferTimeout_ + transfer;
    default:
      return false;
  }
}

}
