#pragma once

#include <nlohmann/json.hpp>

#include <chrono>
#include <string>
#include <vector>

namespace sardinespoke {

/// Answer of a daemon's admin address.
struct AdminAnswer
{
  long status_ = 0;   ///< HTTP status; 0 if no daemon could be reached.
  bool sent_ = false; ///< Whether the request may have reached a daemon.
  nlohmann::json body_;
  std::string text_;
};

/// @returns The text with every character percent-encoded that has a meaning in a URL.
std::string
UrlEncode(const std::string& aText);

/// Calls the admin HTTP address of a daemon and, when it does not answer, of the next one.
class AdminClient
{
public:
  /// @param aAddresses "ip:port" of one or more daemons.
  AdminClient(std::vector<std::string> aAddresses, std::chrono::seconds aTimeout);

  /// Sends the request to each address in turn until one answers. Every request of the admin
  /// interface may be repeated: edits carry a change id.
  AdminAnswer Call(const std::string& aMethod,
                   const std::string& aPath,
                   const std::string& aBody = "") const;

  /// Sends the request to one address only.
  AdminAnswer CallOne(const std::string& aAddress,
                      const std::string& aMethod,
                      const std::string& aPath,
                      const std::string& aBody = "") const;

private:
  std::vector<std::string> addresses_;
  std::chrono::seconds timeout_;
};

}
