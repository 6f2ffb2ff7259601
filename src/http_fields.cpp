#include "http_fields_p.h"

#include <algorithm>
#include <array>

namespace sardinespoke {

namespace {

constexpr std::array<std::string_view, 9> kHopByHop{ "Connection",
                                                     "Keep-Alive",
                                                     "Proxy-Authenticate",
                                                     "Proxy-Authorization",
                                                     "Proxy-Connection",
                                                     "TE",
                                                     "Trailer",
                                                     "Transfer-Encoding",
                                                     "Upgrade" };
constexpr std::string_view kTokenMarks = "!#$%&'*+-.^_`|~";

char
Lower(char aChar)
{
  return aChar >= 'A' && aChar <= 'Z' ? static_cast<char>(aChar - 'A' + 'a') : aChar;
}

bool
IsTokenChar(char aChar)
{
  const char lower = Lower(aChar);
  return (lower >= 'a' && lower <= 'z') || (aChar >= '0' && aChar <= '9') ||
         kTokenMarks.find(aChar) != std::string_view::npos;
}

}

bool
EqualNoCase(std::string_view aLeft, std::string_view aRight)
{
  return std::equal(
    aLeft.begin(), aLeft.end(), aRight.begin(), aRight.end(), [](char aOne, char aOther) {
      return Lower(aOne) == Lower(aOther);
    });
}

std::string
Trim(std::string_view aText)
{
  constexpr std::string_view kBlank = " \t\r\n";
  const size_t first = aText.find_first_not_of(kBlank);
  if (first == std::string_view::npos) {
    return {};
  }
  const size_t last = aText.find_last_not_of(kBlank);
  return std::string(aText.substr(first, last - first + 1));
}

bool
IsToken(std::string_view aText)
{
  return !aText.empty() && std::all_of(aText.begin(), aText.end(), IsTokenChar);
}

bool
IsFieldValue(std::string_view aText)
{
  return std::all_of(aText.begin(), aText.end(), [](char aChar) {
    const auto byte = static_cast<unsigned char>(aChar);
    return byte == '\t' || (byte >= 0x20 && byte != 0x7f);
  });
}

bool
IsHopByHop(std::string_view aName)
{
  return std::any_of(kHopByHop.begin(), kHopByHop.end(), [aName](std::string_view aKnown) {
    return EqualNoCase(aKnown, aName);
  });
}

std::vector<std::string>
ConnectionOptions(const HeaderList& aHeaders)
{
  std::vector<std::string> options;
  for (const auto& [name, value] : aHeaders) {
    if (!EqualNoCase(name, "Connection")) {
      continue;
    }
    std::string_view rest = value;
    while (!rest.empty()) {
      const size_t comma = std::min(rest.find(','), rest.size());
      options.push_back(Trim(rest.substr(0, comma)));
      rest.remove_prefix(std::min(comma + 1, rest.size()));
    }
  }
  return options;
}

bool
ContainsNoCase(const std::vector<std::string>& aNames, std::string_view aName)
{
  return std::any_of(aNames.begin(), aNames.end(), [aName](const std::string& aListed) {
    return EqualNoCase(aListed, aName);
  });
}

}
