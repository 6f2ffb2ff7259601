#pragma once

namespace sardinespoke {

/// What a leader knows of its lease in the store.
enum class LeaseState
{
  Valid,
  InDoubt, ///< Still valid, but renewals have had no response for a while.
  Over,    ///< It may have expired, so that another host may be the leader.
  Count
};

}
