#pragma once

#include "sardinespoke/host_list.h"

#include <string>
#include <vector>

namespace sardinespoke {

/// Generates the hosts of a test deployment. Consecutive hosts are in different racks and
/// consecutive racks in different zones, so that a pool of consecutive hosts is spread over both.
struct GeneratedHosts
{
  int count_ = 0;
  int racks_ = 1;
  int zones_ = 1;
  int regions_ = 1;
  std::string address_ = "127.0.0.1"; ///< Address of all backend servers.
  int basePort_ = 20000;              ///< Port of the first host; host N uses basePort_ + N.

  bool IsValid() const;
  std::vector<ListedHost> Make() const;
};

/// Reads hosts from a JSON array in the format of the host list.
/// @param aError Set to the reason if the file cannot be read.
std::vector<ListedHost>
ReadHostsFile(const std::string& aPath, std::string& aError);

}
