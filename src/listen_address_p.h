#pragma once

#include <netinet/in.h>

#include <optional>
#include <string>

namespace sardinespoke {

/// @param aText "ip:port" with an IPv4 address.
/// @returns The address; empty if the text is not valid.
std::optional<sockaddr_in>
ParseListenAddress(const std::string& aText);

}
