#include "listen_address_p.h"

#include <arpa/inet.h>

#include <charconv>
#include <cstdint>

namespace sardinespoke {

std::optional<sockaddr_in>
ParseListenAddress(const std::string& aText)
{
  const size_t colon = aText.rfind(':');
  if (colon == std::string::npos) {
    return std::nullopt;
  }
  uint16_t port = 0;
  const char* first = aText.data() + colon + 1;
  const char* last = aText.data() + aText.size();
  const auto [stop, code] = std::from_chars(first, last, port);
  if (code != std::errc() || stop != last) {
    return std::nullopt;
  }
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  if (inet_pton(AF_INET, aText.substr(0, colon).c_str(), &address.sin_addr) != 1) {
    return std::nullopt;
  }
  return address;
}

}
