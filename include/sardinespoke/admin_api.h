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

/// State of a daemon that the admin interface shows and that no module owns alone.
class DaemonStatusI
{
public:
  virtual ~DaemonStatusI() = default;
  virtual bool Stopping() const = 0;
  virtual bool HoldsPlanner() const = 0;
  /// Brings gauges and totals up to date before they are exported.
  virtual void UpdateMetrics() = 0;
};

/// The admin interface of a daemon (docs/design.md, section 8).
class AdminApi
{
public:
  /// The modules behind the interface; all must outlive it.
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

  /// Runs an edit of the fleet document and turns its errors into responses.
  template<typename Edit>
  AdminResponse EditFleet(const char* aEvent,
                          const std::string& aCause,
                          const nlohmann::json& aDetail,
                          Edit&& aEdit);

  /// Runs an edit of the profile document and turns its errors into responses.
  template<typename Edit>
  AdminResponse EditProfiles(const AdminRequest& aRequest, Edit&& aEdit);

  uint64_t CurrentFleetRevision() const;

  Modules modules_;
  std::mutex editMutex_; ///< The editors are not thread-safe.
};

}
