#include "hosts_source.h"

#include "platform_json.h"

#include <cstdio>
#include <fstream>

namespace sardinespoke {

namespace {

constexpr int kMaxPort = 65535;

/// @returns A name such as "host-0007"; four digits make the order of ids that of the numbers.
std::string
Numbered(const char* aPrefix, int aNumber)
{
  char text[32];
  std::snprintf(text, sizeof(text), "%s-%04d", aPrefix, aNumber);
  return text;
}

}

bool
GeneratedHosts::IsValid() const
{
  return count_ >= 0 && racks_ > 0 && zones_ > 0 && regions_ > 0 && basePort_ > 0 &&
         basePort_ + count_ <= kMaxPort + 1;
}

std::vector<ListedHost>
GeneratedHosts::Make() const
{
  std::vector<ListedHost> hosts;
  for (int index = 0; index < count_; ++index) {
    const int rack = index % racks_;
    const int zone = rack % zones_;
    hosts.push_back({ Numbered("host", index),
                      address_ + ":" + std::to_string(basePort_ + index),
                      Numbered("rack", rack),
                      Numbered("zone", zone),
                      Numbered("region", zone % regions_),
                      false });
  }
  return hosts;
}

std::vector<ListedHost>
ReadHostsFile(const std::string& aPath, std::string& aError)
{
  std::vector<ListedHost> hosts;
  try {
    std::ifstream file(aPath);
    for (const auto& host : nlohmann::json::parse(file)) {
      hosts.push_back(ReadListedHost(host));
    }
  } catch (const std::exception& exception) {
    aError = exception.what();
  }
  return hosts;
}

}
