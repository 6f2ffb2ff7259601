#pragma once

#include "sardinespoke/errors.h"

#include <cstdint>
#include <string>
#include <vector>

namespace sardinespoke {

/// One host of the platform's host list.
struct ListedHost
{
  std::string id_;
  std::string address_; ///< "ip:port" of the backend server.
  std::string rack_;
  std::string zone_; ///< Data centre.
  std::string region_;
  bool leaving_ = false;
};

/// Snapshot of the platform's host list.
struct HostListSnapshot
{
  uint64_t sequence_ = 0;
  std::vector<ListedHost> hosts_;
};

/// The platform's list of live and leaving hosts, which is eventually consistent. Errors:
/// StoreError.
class HostListI
{
public:
  virtual ~HostListI() = default;
  virtual leaf::result<HostListSnapshot> Fetch() = 0;
};

}
