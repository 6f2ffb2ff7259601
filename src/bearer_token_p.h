#pragma once

#include <string>

namespace sardinespoke {

/// @param aAuthorization Value of an Authorization header.
/// @returns The token of the scheme Bearer (RFC 6750); empty if it has another scheme.
std::string
BearerToken(const std::string& aAuthorization);

}
