#include "bearer_token_p.h"

#include <strings.h>

namespace sardinespoke {

std::string
BearerToken(const std::string& aAuthorization)
{
  constexpr char kScheme[] = "Bearer ";
  constexpr size_t kSchemeLength = sizeof(kScheme) - 1;
  if (strncasecmp(aAuthorization.c_str(), kScheme, kSchemeLength) != 0) {
    return "";
  }
  const size_t begin = aAuthorization.find_first_not_of(' ', kSchemeLength);
  if (begin == std::string::npos) {
    return "";
  }
  const size_t end = aAuthorization.find_last_not_of(" \t");
  return aAuthorization.substr(begin, end + 1 - begin);
}

}
