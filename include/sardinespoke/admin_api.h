#pragma once

#include "sardinespoke/admin_server.h"

#include <cstdint>
#include <mutex>
#include <string>

namespace sardinespoke {

class ConfigSync;
class EventLogI;
class FleetEditor;
class Metrics;
class ProfileEditor;

/// Daemon-wide state that the admin interface reports.
class DaemonStatusI
{
public:
  virtual ~DaemonStatusI() = default;
  virtual bool Stopping() const = 0;
  virtual bool HoldsPlanner() const = 0;
  /// Updates gauges and totals; called before each export.
  virtual void UpdateMetrics() = 0;
};

/// The admin interface of a daemon (docs/design.md, section 8).
class AdminApi
{
public:
  /// The modules that serve the requests; all must outlive the AdminApi.
  struct Modules
  {
    ConfigSync& config_;
    ProfileEditor& profiles_;
    FleetEditor& fleet_;
    EventLogI& events_;
    Metrics& metrics_;
    DaemonStatusI& status_;
    std::string id_;
    std::string zone_;
    std::string adminAddress_;
  };

  explicit AdminApi(Modules aModules);

  /// Adds the routes; call before AdminServer::Init().
  void RegisterRoutes(AdminServer& aServer);

private:
  using Method = AdminResponse (AdminApi::*)(const AdminRequest&);

  AdminResponse Health(const AdminRequest& aRequest);
  AdminResponse Status(const AdminRequest& aRequest);
  AdminResponse Events(const AdminRequest& aRequest);
  AdminResponse Exposition(const AdminRequest& aRequest);
  AdminResponse GetProfiles(const AdminRequest& aRequest);
  AdminResponse GetProfile(const AdminRequest& aRequest);
  AdminResponse PutProfiles(const AdminRequest& aRequest);
  AdminResponse PutProfile(const AdminRequest& aRequest);
  AdminResponse DeleteProfile(const AdminRequest& aRequest);
  AdminResponse History(const AdminRequest& aRequest);
  AdminResponse Fleet(const AdminRequest& aRequest);
  AdminResponse GetMaintenance(const AdminRequest& aRequest);
  AdminResponse PostMaintenance(const AdminRequest& aRequest);
  AdminResponse ForgetEntry(const AdminRequest& aRequest);
  AdminResponse ReturnHost(const AdminRequest& aRequest);

  /// Runs an edit of the fleet document and converts its errors to responses.
  template<typename Edit>
  AdminResponse EditFleet(const char* aEvent,
                          const std::string& aCause,
                          const nlohmann::json& aDetail,
                          Edit&& aEdit);

  /// Runs an edit of the profile document and converts its errors to responses.
  template<typename Edit>
  AdminResponse EditProfiles(const AdminRequest& aRequest, Edit&& aEdit);

  uint64_t FleetRevisionInForce() const;

  Modules modules_;
  std::mutex editMutex_; ///< Serializes calls of the editors, which are not thread-safe.
};

}
