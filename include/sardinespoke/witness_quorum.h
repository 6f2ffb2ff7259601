#pragma once

#include <chrono>
#include <cstddef>

namespace sardinespoke {

/// Decides between a leader that the store does not answer and a possible successor. Each backend
/// server that has a record in the store is a witness: once the successor has polled it, it refuses
/// the commands of the earlier leader. The earlier one goes on only with a majority of them, the
/// successor takes over the runs of silent ones only with half of them, so that both cannot hold.
struct WitnessQuorum
{
  /// Age from which the response of a witness no longer counts, from when its poll was sent.
  static constexpr std::chrono::milliseconds kWitnessAge{ 1500 };

  /// Longest time that a leader goes on without the store.
  static constexpr std::chrono::seconds kIsolationLimit{ 20 };

  /// Time after which a successor takes over without half of the witnesses. Later than the limit of
  /// an earlier leader whose record was taken away while its lease was valid.
  static constexpr std::chrono::seconds kTakeoverLimit{ 23 };

  /// @param aFresh Witnesses whose last response counts.
  /// @param aWitnesses Witnesses when the lease expired.
  static constexpr bool MayContinue(size_t aFresh, size_t aWitnesses)
  {
    return aFresh * 2 > aWitnesses;
  }

  /// @param aReached Witnesses that have responded to the successor.
  /// @param aWitnesses Witnesses that have not ended.
  static constexpr bool MayTakeOver(size_t aReached, size_t aWitnesses)
  {
    return aReached * 2 >= aWitnesses;
  }
};

}
