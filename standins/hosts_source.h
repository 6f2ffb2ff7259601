#pragma once

#include "sardinespoke/host_list.h"

#include <string>
#include <vector>

namespace sardinespoke {

/// Describes hosts that are generated for a test deployment. Consecutive hosts go to different
/// racks, and consecutive racks to different zones, so that a pool of consecutive hosts is spread.
struct GeneratedHosts
{
  int count_ = 0;
  int racks_ = 1;
  int zones_ = 1;
  int regions_ = 1;
  std::string address_ = "127.0.0.1"; ///< Address of all backend servers.
  int basePort_ = 20000;              ///< Port of the first host; the others follow.

  bool IsValid() const;
  std::vector<ListedHost> Make() const;
};

/// Reads hosts from a JSON array in the form of the host list.
/// @param aError Set to the reason if the file cannot be read.
std::vector<ListedHost>
ReadHostsFile(const std::string& aPath, std::string& aError);

}
