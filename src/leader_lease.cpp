#include "sardinespoke/leader_lease.h"

#include "bounded_json_p.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace sardinespoke {

namespace {

enum class Outcome
{
  Done,
  Refused, ///< The store rejected the call: a conflict, a missing key or an expired lease.
  NoAnswer,
};

template<typename Call>
Outcome
Try(const Call& aCall)
{
  return leaf::try_handle_all(
    [&]() -> leaf::result<Outcome> {
      BOOST_LEAF_CHECK(aCall());
      return Outcome::Done;
    },
    [](const StoreError& aError) {
      const bool refused = aError.code_ == StoreError::Code::Conflict ||
                           aError.code_ == StoreError::Code::NotFound ||
                           aError.code_ == StoreError::Code::LeaseLapsed;
      return refused ? Outcome::Refused : Outcome::NoAnswer;
    },
    [] { return Outcome::NoAnswer; });
}

}

LeaderLease::LeaderLease(KeyValueStoreI& aStore,
                         const ClockI& aClock,
                         std::string aKey,
                         std::string aHolder,
                         std::chrono::milliseconds aTtl)
  : store_(aStore)
  , clock_(aClock)
  , key_(std::move(aKey))
  , holder_(std::move(aHolder))
  , ttl_(aTtl)
{
}

bool
LeaderLease::Renew()
{
  const TimePoint requestedAt = clock_.Now();
  if (requestedAt - renewed_ < ttl_ / 4) {
    return true;
  }
  const Outcome outcome = Try([&] { return store_.RenewLease(*lease_); });
  if (outcome == Outcome::Done) {
    renewed_ = requestedAt;
  }
  if (outcome == Outcome::Refused) {
    lease_.reset();
  }
  return outcome == Outcome::Done;
}

bool
LeaderLease::TryAcquire(uint64_t aTerm)
{
  std::string current;
  const Outcome read = Try([&]() -> leaf::result<void> {
    BOOST_LEAF_AUTO(item, store_.Get(key_));
    current = item.value_;
    return {};
  });
  if (read == Outcome::Done) {
    const nlohmann::json record = ParseJson(current);
    // The key may be ours although Put() failed, if only the response to the write was lost.
    const bool ours = lease_ && record.contains("lease") && record.at("lease") == *lease_;
    if (lease_ && !ours) {
      Release();
    }
    return ours;
  }
  if (read == Outcome::NoAnswer) {
    return false;
  }
  if (!lease_) {
    const TimePoint requestedAt = clock_.Now();
    const Outcome granted = Try([&]() -> leaf::result<void> {
      BOOST_LEAF_AUTO(lease, store_.GrantLease(ttl_));
      lease_ = lease;
      renewed_ = requestedAt;
      return {};
    });
    if (granted != Outcome::Done) {
      return false;
    }
  }
  const nlohmann::json record = { { "holder", holder_ }, { "term", aTerm }, { "lease", *lease_ } };
  return Try([&] { return store_.Put(key_, record.dump(), 0, lease_); }) == Outcome::Done;
}

bool
LeaderLease::AcquireOrRenew(uint64_t aTerm)
{
  if (lease_ && !Renew()) {
    held_ = false;
    return false;
  }
  if (!held_ || !lease_) {
    held_ = TryAcquire(aTerm);
  }
  return held_;
}

void
LeaderLease::Release()
{
  if (lease_) {
    static_cast<void>(Try([&] { return store_.RevokeLease(*lease_); }));
  }
  lease_.reset();
  held_ = false;
}

}
