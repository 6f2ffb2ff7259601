#pragma once

#include "sardinespoke/backend_link.h"

#include <string>
#include <string_view>
#include <vector>

namespace sardinespoke {

/// @returns Whether both are equal, ignoring the case of ASCII letters.
bool
EqualNoCase(std::string_view aLeft, std::string_view aRight);

/// @returns The text without spaces, tabs and line ends around it.
std::string
Trim(std::string_view aText);

/// @returns Whether the text is a token of RFC 9110: a valid method or header name.
bool
IsToken(std::string_view aText);

/// @returns Whether the text can be sent as a header value: no control characters.
bool
IsFieldValue(std::string_view aText);

/// @returns Whether the header belongs to one connection and is never forwarded (RFC 9110, 7.6.1).
bool
IsHopByHop(std::string_view aName);

/// @returns The header names listed in the Connection headers; these are not forwarded either.
std::vector<std::string>
ConnectionOptions(const HeaderList& aHeaders);

/// @returns Whether the list has the name, ignoring case.
bool
ContainsNoCase(const std::vector<std::string>& aNames, std::string_view aName);

}
