#pragma once

#include "memory_platform.h"

#include <nlohmann/json_fwd.hpp>

#include <map>
#include <mutex>
#include <string>

namespace sardinespoke {

/// A request to the stand-in, independent of the HTTP library.
struct PlatformRequest
{
  std::string method_;
  std::string path_;                         ///< Percent-decoded.
  std::map<std::string, std::string> query_; ///< Percent-decoded.
  std::string client_;                       ///< Header Sardinespoke-Client.
  std::string body_;
};

/// The stand-in's reply, independent of the HTTP library.
struct PlatformReply
{
  unsigned int status_ = 200;
  std::string body_;
  bool dropped_ = false; ///< Close the connection without a complete response.
};

/// Maps HTTP requests to calls of a MemoryPlatform. Thread-safe.
class PlatformRoutes
{
public:
  /// @param aPlatform Must outlive the routes.
  explicit PlatformRoutes(MemoryPlatform& aPlatform);

  PlatformReply Handle(const PlatformRequest& aRequest);

private:
  using Handler = leaf::result<nlohmann::json> (PlatformRoutes::*)(const PlatformRequest&,
                                                                   const std::string&);
  struct Route;

  static const std::vector<Route>& Routes();
  PlatformReply Run(const Route& aRoute, const PlatformRequest& aRequest);
  /// Calls the handler. Errors: StoreError::Code::Malformed if the handler throws because of the
  /// request's content.
  leaf::result<nlohmann::json> CallHandler(const Route& aRoute, const PlatformRequest& aRequest);

  leaf::result<nlohmann::json> GetKey(const PlatformRequest& aRequest, const std::string& aName);
  leaf::result<nlohmann::json> PutKey(const PlatformRequest& aRequest, const std::string& aName);
  leaf::result<nlohmann::json> DeleteKey(const PlatformRequest& aRequest, const std::string& aName);
  leaf::result<nlohmann::json> GetRange(const PlatformRequest& aRequest, const std::string& aName);
  leaf::result<nlohmann::json> GetWatch(const PlatformRequest& aRequest, const std::string& aName);
  leaf::result<nlohmann::json> Grant(const PlatformRequest& aRequest, const std::string& aName);
  leaf::result<nlohmann::json> Renew(const PlatformRequest& aRequest, const std::string& aName);
  leaf::result<nlohmann::json> Revoke(const PlatformRequest& aRequest, const std::string& aName);
  leaf::result<nlohmann::json> GetHosts(const PlatformRequest& aRequest, const std::string& aName);
  leaf::result<nlohmann::json> GetPower(const PlatformRequest& aRequest, const std::string& aName);
  leaf::result<nlohmann::json> Reboot(const PlatformRequest& aRequest, const std::string& aName);
  leaf::result<nlohmann::json> ChangeHosts(const PlatformRequest& aRequest,
                                           const std::string& aName);
  leaf::result<nlohmann::json> ChangeFaults(const PlatformRequest& aRequest,
                                            const std::string& aName);
  leaf::result<nlohmann::json> GetCalls(const PlatformRequest& aRequest, const std::string& aName);

  MemoryPlatform& platform_;
  std::mutex mutex_;
  std::map<std::string, PlatformSnapshot>
    snapshots_; ///< Snapshots taken through /faults/v1, by name.
};

}
