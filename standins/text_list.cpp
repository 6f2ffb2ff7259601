#include "text_list.h"

#include <sstream>

namespace sardinespoke {

std::vector<std::string>
SplitList(const std::string& aText)
{
  std::vector<std::string> parts;
  std::istringstream in(aText);
  std::string part;
  while (std::getline(in, part, ',')) {
    if (!part.empty()) {
      parts.push_back(part);
    }
  }
  return parts;
}

}
