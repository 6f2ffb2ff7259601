#pragma once

#include "sardinespoke/backend_link.h"

#include <string>
#include <string_view>
#include <vector>

namespace sardinespoke {

/// @returns Whether the texts are equal, ignoring the case of ASCII letters.
bool
EqualNoCase(std::string_view aLeft, std::string_view aRight);

/// @returns The text without leading and trailing spaces, tabs and line ends.
std::string
Trim(std::string_view aText);

/// @returns Whether the text is a token (RFC 9110), as methods and header names must be.
bool
IsToken(std::string_view aText);

/// @returns Whether the text is a valid header value: no control characters except tabs.
bool
IsFieldValue(std::string_view aText);

/// @returns Whether the header applies to one connection and is never forwarded (RFC 9110, 7.6.1).
bool
IsHopByHop(std::string_view aName);

/// @returns The header names listed in Connection headers, which are not forwarded either.
std::vector<std::string>
ConnectionOptions(const HeaderList& aHeaders);

/// @returns Whether the list contains the name, ignoring case.
bool
ContainsNoCase(const std::vector<std::string>& aNames, std::string_view aName);

}
