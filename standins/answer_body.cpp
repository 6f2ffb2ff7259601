#include "answer_body.h"

namespace sardinespoke {

std::string
MakeResponseBody(const std::string& aNonce, size_t aBytes)
{
  constexpr char kPattern[] = "0123456789abcdef";
  constexpr size_t kPatternSize = sizeof(kPattern) - 1;
  std::string body = aNonce + "|";
  body.reserve(aBytes);
  while (body.size() < aBytes) {
    body.append(kPattern, std::min(kPatternSize, aBytes - body.size()));
  }
  return body;
}

}
