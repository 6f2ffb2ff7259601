#include "sardinespoke/admin_api.h"

#include "bounded_json_p.h"
#include "sardinespoke/config_sync.h"
#include "sardinespoke/event_log.h"
#include "sardinespoke/fleet_editor.h"
#include "sardinespoke/metrics.h"
#include "sardinespoke/profile_editor.h"

#include <array>

namespace sardinespoke {

namespace {

constexpr unsigned int kOk = 200;
constexpr unsigned int kBadRequest = 400;
constexpr unsigned int kNotFound = 404;
constexpr unsigned int kConflict = 409;
constexpr unsigned int kUnavailable = 503;
constexpr unsigned int kGatewayTimeout = 504;

unsigned int
StatusOf(ConfigError::Code aCode)
{
  switch (aCode) {
    case ConfigError::Code::Conflict:
      return kConflict;
    case ConfigError::Code::StoreDown:
      return kUnavailable;
    case ConfigError::Code::OutcomeUnknown:
      return kGatewayTimeout;
    case ConfigError::Code::NotFound:
      return kNotFound;
    default:
      return kBadRequest;
  }
}

unsigned int
StatusOf(PlannerError::Code aCode)
{
  switch (aCode) {
    case PlannerError::Code::UnknownHost:
      return kNotFound;
    case PlannerError::Code::StoreDown:
      return kUnavailable;
    case PlannerError::Code::OutcomeUnknown:
      return kGatewayTimeout;
    default:
      return kConflict;
  }
}

/// Parses an optional number; an empty text gives 0.
/// @returns False if the text is not a decimal number or is too long.
bool
ParseNumber(const std::string& aText, uint64_t& aNumber)
{
  aNumber = 0;
  if (aText.empty()) {
    return true;
  }
  if (aText.find_first_not_of("0123456789") != std::string::npos) {
    return false;
  }
  constexpr size_t kMaxDigits = 18;
  if (aText.size() > kMaxDigits) {
    return false;
  }
  aNumber = std::stoull(aText);
  return true;
}

nlohmann::json
HostJson(const FleetHost& aHost)
{
  nlohmann::json host = {
    { "id", aHost.id_ },         { "address", aHost.address_ },
    { "pool", aHost.pool_ },     { "state", HostStateName(aHost.state_) },
    { "rack", aHost.rack_ },     { "zone", aHost.zone_ },
    { "region", aHost.region_ }, { "changed_revision", aHost.changedRevision_ },
  };
  if (!aHost.targetPool_.empty()) {
    host["target_pool"] = aHost.targetPool_;
  }
  return host;
}

nlohmann::json
EntryJson(const EntryRecord& aRecord)
{
  return { { "id", aRecord.id_ },
           { "incarnation", aRecord.incarnation_ },
           { "caller", aRecord.caller_ },
           { "admin", aRecord.admin_ },
           { "peer", aRecord.peer_ },
           { "zone", aRecord.zone_ },
           { "stopping", aRecord.stopping_ },
           { "profiles_revision", aRecord.profilesRevision_ },
           { "fleet_revision", aRecord.fleetRevision_ },
           { "suspects", aRecord.suspects_ } };
}

AdminResponse
NoDocumentError(const std::string& aWhat)
{
  return AdminResponse::Error(
    kUnavailable, "no-document", "", "no " + aWhat + " document is in force at this entry host");
}

}

AdminApi::AdminApi(Modules aModules)
  : modules_(std::move(aModules))
{
}

void
AdminApi::RegisterRoutes(AdminServer& aServer)
{
  struct Entry
  {
    const char* method_;
    const char* pattern_;
    Method handler_;
  };
  static const std::array<Entry, 15> kRoutes{ {
    { "GET", "/healthz", &AdminApi::Health },
    { "GET", "/v1/status", &AdminApi::Status },
    { "GET", "/v1/events", &AdminApi::Events },
    { "GET", "/metrics", &AdminApi::Exposition },
    { "GET", "/v1/profiles", &AdminApi::GetProfiles },
    { "GET", "/v1/profiles/@name", &AdminApi::GetProfile },
    { "PUT", "/v1/profiles", &AdminApi::PutProfiles },
    { "PUT", "/v1/profiles/@name", &AdminApi::PutProfile },
    { "DELETE", "/v1/profiles/@name", &AdminApi::DeleteProfile },
    { "GET", "/v1/history", &AdminApi::History },
    { "GET", "/v1/fleet", &AdminApi::Fleet },
    { "GET", "/v1/maintenance", &AdminApi::GetMaintenance },
    { "POST", "/v1/maintenance", &AdminApi::PostMaintenance },
    { "POST", "/v1/entry/@id/forget", &AdminApi::ForgetEntry },
    { "POST", "/v1/hosts/@id/return", &AdminApi::ReturnHost },
  } };
  for (const auto& route : kRoutes) {
    aServer.AddRoute(route.method_, route.pattern_, [this, &route](const AdminRequest& aRequest) {
      return (this->*route.handler_)(aRequest);
    });
  }
}

AdminResponse
AdminApi::Health(const AdminRequest& /*aRequest*/)
{
  const bool healthy = modules_.config_.MayDispatch() && !modules_.status_.Stopping();
  return AdminResponse::Json(healthy ? kOk : kUnavailable, { { "healthy", healthy } });
}

AdminResponse
AdminApi::Status(const AdminRequest& /*aRequest*/)
{
  auto& config = modules_.config_;
  const auto view = config.Current();
  nlohmann::json status = {
    { "id", modules_.id_ },
    { "incarnation", config.Incarnation() },
    { "zone", modules_.zone_ },
    { "profiles_revision", view && view->profiles_ ? view->profiles_->revision_ : 0 },
    { "fleet_revision", view && view->fleet_ ? view->fleet_->revision_ : 0 },
    { "may_dispatch", config.MayDispatch() },
    { "member", config.IsMember() },
    { "store_reachable", config.StoreReachable() },
    { "observer", config.IsObserver() },
    { "planner", modules_.status_.HoldsPlanner() },
    { "stopping", modules_.status_.Stopping() },
  };
  auto& hosts = status["entry_hosts"] = nlohmann::json::array();
  for (const auto& [id, record] : config.Roster()) {
    hosts.push_back(EntryJson(record));
  }
  auto& members = status["members"] = nlohmann::json::array();
  if (view && view->fleet_) {
    for (const auto& [id, member] : view->fleet_->members_) {
      members.push_back(id);
    }
  }
  return AdminResponse::Json(kOk, status);
}

AdminResponse
AdminApi::Events(const AdminRequest& aRequest)
{
  uint64_t after = 0;
  if (!ParseNumber(aRequest.Parameter("after"), after)) {
    return AdminResponse::Error(kBadRequest, "malformed", "after", "expected a number");
  }
  auto events = nlohmann::json::array();
  for (const auto& event : modules_.events_.After(after)) {
    events.push_back({ { "sequence", event.sequence_ },
                       { "hybrid_time", event.hybridTime_ },
                       { "process", event.process_ },
                       { "type", event.type_ },
                       { "cause", event.cause_ },
                       { "detail", event.detail_ } });
  }
  return AdminResponse::Json(kOk, { { "events", events } });
}

AdminResponse
AdminApi::Exposition(const AdminRequest& /*aRequest*/)
{
  modules_.status_.UpdateMetrics();
  AdminResponse response;
  response.contentType_ = "text/plain; version=0.0.4";
  response.body_ = modules_.metrics_.Exposition();
  return response;
}

AdminResponse
AdminApi::GetProfiles(const AdminRequest& /*aRequest*/)
{
  const auto view = modules_.config_.Current();
  if (!view || !view->profiles_) {
    return NoDocumentError("profile");
  }
  AdminResponse response;
  response.body_ = view->profiles_->Serialize();
  return response;
}

AdminResponse
AdminApi::GetProfile(const AdminRequest& aRequest)
{
  const auto view = modules_.config_.Current();
  if (!view || !view->profiles_) {
    return NoDocumentError("profile");
  }
  const auto name = aRequest.Parameter("name");
  const auto document = nlohmann::json::parse(view->profiles_->Serialize());
  const auto& profiles = document.at("profiles");
  if (!profiles.contains(name)) {
    return AdminResponse::Error(
      kNotFound, "not-found", "/profiles/" + name, "there is no profile of this name");
  }
  return AdminResponse::Json(kOk, profiles.at(name));
}

template<typename Edit>
AdminResponse
AdminApi::EditProfiles(const AdminRequest& aRequest, Edit&& aEdit)
{
  EditRequest edit;
  edit.changeId_ = aRequest.Parameter("change_id");
  edit.author_ = aRequest.Parameter("author");
  if (edit.changeId_.empty()) {
    return AdminResponse::Error(
      kBadRequest, "malformed", "change_id", "missing; expected an id that is unique per change");
  }
  const auto base = aRequest.Parameter("base_revision");
  if (base.empty() || !ParseNumber(base, edit.baseRevision_)) {
    return AdminResponse::Error(kBadRequest,
                                "malformed",
                                "base_revision",
                                "expected the revision that was edited, 0 for the first document");
  }
  const std::lock_guard lock(editMutex_);
  return leaf::try_handle_all(
    [&]() -> leaf::result<AdminResponse> {
      BOOST_LEAF_AUTO(accepted, aEdit(edit));
      modules_.events_.Record("profiles.accepted",
                              "edit by " + edit.author_,
                              { { "revision", accepted.revision_ },
                                { "change_id", edit.changeId_ },
                                { "repeated", accepted.repeated_ } });
      return AdminResponse::Json(kOk,
                                 { { "revision", accepted.revision_ },
                                   { "change_id", edit.changeId_ },
                                   { "repeated", accepted.repeated_ } });
    },
    [&](const ConfigError& aError) {
      modules_.events_.Record("profiles.refused",
                              CodeName(aError.code_),
                              { { "change_id", edit.changeId_ }, { "field", aError.path_ } });
      return AdminResponse::Error(
        StatusOf(aError.code_), CodeName(aError.code_), aError.path_, aError.message_);
    },
    // Not a definite failure: the edit may have been written before the unexpected error.
    []() { return AdminResponse::Error(kGatewayTimeout, "internal", "", "unexpected error"); });
}

AdminResponse
AdminApi::PutProfiles(const AdminRequest& aRequest)
{
  return EditProfiles(aRequest, [&](const EditRequest& aEdit) {
    return modules_.profiles_.ApplyDocument(aRequest.body_, aEdit);
  });
}

AdminResponse
AdminApi::PutProfile(const AdminRequest& aRequest)
{
  return EditProfiles(aRequest, [&](const EditRequest& aEdit) {
    return modules_.profiles_.PutProfile(aRequest.Parameter("name"), aRequest.body_, aEdit);
  });
}

AdminResponse
AdminApi::DeleteProfile(const AdminRequest& aRequest)
{
  return EditProfiles(aRequest, [&](const EditRequest& aEdit) {
    return modules_.profiles_.DeleteProfile(aRequest.Parameter("name"), aEdit);
  });
}

AdminResponse
AdminApi::History(const AdminRequest& /*aRequest*/)
{
  const auto view = modules_.config_.Current();
  if (!view || !view->profiles_) {
    return NoDocumentError("profile");
  }
  auto history = nlohmann::json::array();
  for (const auto& change : view->profiles_->history_) {
    history.push_back({ { "revision", change.revision_ },
                        { "change_id", change.changeId_ },
                        { "author", change.author_ },
                        { "summary", change.summary_ },
                        { "accepted_at", change.acceptedAt_ } });
  }
  return AdminResponse::Json(kOk, { { "history", history } });
}

AdminResponse
AdminApi::Fleet(const AdminRequest& /*aRequest*/)
{
  const auto view = modules_.config_.Current();
  if (!view || !view->fleet_) {
    return NoDocumentError("fleet");
  }
  auto hosts = nlohmann::json::array();
  for (const auto& [id, host] : view->fleet_->hosts_) {
    hosts.push_back(HostJson(host));
  }
  return AdminResponse::Json(kOk, { { "revision", view->fleet_->revision_ }, { "hosts", hosts } });
}

AdminResponse
AdminApi::GetMaintenance(const AdminRequest& /*aRequest*/)
{
  const auto view = modules_.config_.Current();
  if (!view || !view->fleet_) {
    return NoDocumentError("fleet");
  }
  const auto& fleet = *view->fleet_;
  std::array<int, static_cast<size_t>(HostState::Count)> byState{};
  int maintained = 0;
  for (const auto& [id, host] : fleet.hosts_) {
    ++byState[static_cast<size_t>(host.state_)];
    // A host gets the roll-out's number when its drain starts, so it is done only once it serves.
    const bool done =
      host.state_ == HostState::Serving && host.maintainedRollout_ == fleet.rollout_.number_;
    if (fleet.rollout_.number_ != 0 && done) {
      ++maintained;
    }
  }
  nlohmann::json body = {
    { "number", fleet.rollout_.number_ }, { "active", fleet.rollout_.active_ },
    { "paused", fleet.rollout_.paused_ }, { "started_by", fleet.rollout_.startedBy_ },
    { "hosts", fleet.hosts_.size() },     { "maintained", maintained }
  };
  for (size_t state = 0; state < byState.size(); ++state) {
    body[HostStateName(static_cast<HostState>(state))] = byState[state];
  }
  return AdminResponse::Json(kOk, body);
}

uint64_t
AdminApi::FleetRevisionInForce() const
{
  const auto view = modules_.config_.Current();
  return view && view->fleet_ ? view->fleet_->revision_ : 0;
}

template<typename Edit>
AdminResponse
AdminApi::EditFleet(const char* aEvent,
                    const std::string& aCause,
                    const nlohmann::json& aDetail,
                    Edit&& aEdit)
{
  const std::lock_guard lock(editMutex_);
  return leaf::try_handle_all(
    [&]() -> leaf::result<AdminResponse> {
      BOOST_LEAF_AUTO(revision, aEdit(FleetRevisionInForce()));
      auto detail = aDetail;
      detail["revision"] = revision;
      modules_.events_.Record(aEvent, aCause, detail);
      return AdminResponse::Json(kOk, { { "revision", revision } });
    },
    [](const PlannerError& aError) {
      return AdminResponse::Error(
        StatusOf(aError.code_), CodeName(aError.code_), "", aError.message_);
    },
    // Not a definite failure: the edit may have been written before the unexpected error.
    []() { return AdminResponse::Error(kGatewayTimeout, "internal", "", "unexpected error"); });
}

AdminResponse
AdminApi::PostMaintenance(const AdminRequest& aRequest)
{
  const auto body = ParseJson(aRequest.body_);
  if (!body.is_object() || !body.contains("action") || !body.at("action").is_string()) {
    return AdminResponse::Error(
      kBadRequest, "malformed", "/action", "expected a JSON object with the text field action");
  }
  const auto action = body.at("action").get<std::string>();
  const auto author = body.contains("author") && body.at("author").is_string()
                        ? body.at("author").get<std::string>()
                        : std::string();
  const auto cause = "operator " + author;
  const auto none = nlohmann::json::object();
  auto& fleet = modules_.fleet_;
  if (action == "start") {
    return EditFleet("rollout.started", cause, none, [&](uint64_t aRevisionInForce) {
      return fleet.StartRollout(aRevisionInForce, author);
    });
  }
  if (action == "pause") {
    return EditFleet("rollout.paused", cause, none, [&](uint64_t aRevisionInForce) {
      return fleet.PauseRollout(aRevisionInForce);
    });
  }
  if (action == "resume") {
    return EditFleet("rollout.resumed", cause, none, [&](uint64_t aRevisionInForce) {
      return fleet.ResumeRollout(aRevisionInForce);
    });
  }
  return AdminResponse::Error(
    kBadRequest, "malformed", "/action", "is \"" + action + "\"; expected start, pause or resume");
}

AdminResponse
AdminApi::ForgetEntry(const AdminRequest& aRequest)
{
  const auto id = aRequest.Parameter("id");
  return EditFleet(
    "member.forgotten", "operator", { { "entry", id } }, [&](uint64_t aRevisionInForce) {
      return modules_.fleet_.ForgetMember(aRevisionInForce, id);
    });
}

AdminResponse
AdminApi::ReturnHost(const AdminRequest& aRequest)
{
  const auto id = aRequest.Parameter("id");
  return EditFleet("host.returned", "operator", { { "host", id } }, [&](uint64_t aRevisionInForce) {
    return modules_.fleet_.ReturnHost(aRevisionInForce, id);
  });
}

}
