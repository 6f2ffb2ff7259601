#include "platform_routes.h"

#include "platform_json.h"

#include <charconv>
#include <stdexcept>

namespace sardinespoke {

namespace {

using Json = nlohmann::json;
using Code = StoreError::Code;

/// Reads a number from the query. Throws std::invalid_argument, which leads to status 400, if it is
/// missing or malformed.
uint64_t
Number(const PlatformRequest& aRequest, const std::string& aName)
{
  const auto field = aRequest.query_.find(aName);
  if (field == aRequest.query_.end()) {
    throw std::invalid_argument("query parameter \"" + aName + "\" is missing");
  }
  uint64_t value = 0;
  const char* end = field->second.data() + field->second.size();
  const auto [parsed, error] = std::from_chars(field->second.data(), end, value);
  if (error != std::errc{} || parsed != end) {
    throw std::invalid_argument("query parameter \"" + aName + "\" is not a number");
  }
  return value;
}

std::string
Prefix(const PlatformRequest& aRequest)
{
  const auto field = aRequest.query_.find("prefix");
  return field == aRequest.query_.end() ? "" : field->second;
}

PlatformReply
ReplyTo(const StoreError& aError)
{
  const std::string body = Json{ { "error", aError.message_ } }.dump();
  switch (aError.code_) {
    case Code::Unreachable:
      return { 503, body, false };
    case Code::Conflict:
      return { 409, body, false };
    case Code::NotFound:
    case Code::LeaseLapsed:
      return { 404, body, false };
    case Code::TooLarge:
      return { 413, body, false };
    case Code::SequenceLost:
      return { 410, body, false };
    case Code::Malformed:
      return { 400, body, false };
    default:
      return { 0, "", true };
  }
}

}

/// A call of the protocol. The path consists of the prefix, a name and the suffix.
struct PlatformRoutes::Route
{
  std::string method_;
  std::string prefix_;
  std::string suffix_;
  bool named_ = false;
  bool isControl_ = false; ///< Call of the stand-in itself; allowed for clients that are cut off.
  Handler handler_ = nullptr;

  bool Matches(const PlatformRequest& aRequest) const
  {
    const std::string& path = aRequest.path_;
    if (aRequest.method_ != method_) {
      return false;
    }
    if (!named_) {
      return path == prefix_;
    }
    return path.size() > prefix_.size() + suffix_.size() && path.starts_with(prefix_) &&
           path.ends_with(suffix_);
  }

  std::string NameIn(const std::string& aPath) const
  {
    return named_ ? aPath.substr(prefix_.size(), aPath.size() - prefix_.size() - suffix_.size())
                  : "";
  }
};

const std::vector<PlatformRoutes::Route>&
PlatformRoutes::Routes()
{
  static const std::vector<Route> kRoutes{
    { "GET", "/kv/v1/keys/", "", true, false, &PlatformRoutes::GetKey },
    { "PUT", "/kv/v1/keys/", "", true, false, &PlatformRoutes::PutKey },
    { "DELETE", "/kv/v1/keys/", "", true, false, &PlatformRoutes::DeleteKey },
    { "GET", "/kv/v1/range", "", false, false, &PlatformRoutes::GetRange },
    { "GET", "/kv/v1/watch", "", false, false, &PlatformRoutes::GetWatch },
    { "POST", "/kv/v1/leases", "", false, false, &PlatformRoutes::Grant },
    { "PUT", "/kv/v1/leases/", "", true, false, &PlatformRoutes::Renew },
    { "DELETE", "/kv/v1/leases/", "", true, false, &PlatformRoutes::Revoke },
    { "GET", "/hosts/v1/list", "", false, false, &PlatformRoutes::GetHosts },
    { "POST", "/hosts/v1/hosts/", "/reboot", true, false, &PlatformRoutes::Reboot },
    { "GET", "/hosts/v1/hosts/", "", true, false, &PlatformRoutes::GetPower },
    { "POST", "/hosts/v1/list", "", false, true, &PlatformRoutes::ChangeHosts },
    { "POST", "/faults/v1", "", false, true, &PlatformRoutes::ChangeFaults },
    { "GET", "/calls/v1", "", false, true, &PlatformRoutes::GetCalls },
  };
  return kRoutes;
}

PlatformRoutes::PlatformRoutes(MemoryPlatform& aPlatform)
  : platform_(aPlatform)
{
}

PlatformReply
PlatformRoutes::Handle(const PlatformRequest& aRequest)
{
  for (const Route& route : Routes()) {
    if (route.Matches(aRequest)) {
      return Run(route, aRequest);
    }
  }
  return { 404, R"({"error":"no such call"})", false };
}

PlatformReply
PlatformRoutes::Run(const Route& aRoute, const PlatformRequest& aRequest)
{
  if (!aRoute.isControl_ && platform_.IsCutOff(aRequest.client_)) {
    platform_.CountRefused();
    return { 0, "", true };
  }
  try {
    PlatformReply reply = leaf::try_handle_all(
      [&]() -> leaf::result<PlatformReply> {
        BOOST_LEAF_AUTO(body, CallHandler(aRoute, aRequest));
        return PlatformReply{ 200, body.dump(), false };
      },
      [](const StoreError& aError) { return ReplyTo(aError); },
      [] {
        return PlatformReply{ 500, "", false };
      });
    // A client that was cut off during the call does not receive the response either.
    reply.dropped_ = reply.dropped_ || (!aRoute.isControl_ && platform_.IsCutOff(aRequest.client_));
    return reply;
  } catch (const std::exception& exception) {
    return { 400, Json{ { "error", exception.what() } }.dump(), false };
  }
}

leaf::result<Json>
PlatformRoutes::CallHandler(const Route& aRoute, const PlatformRequest& aRequest)
{
  try {
    return (this->*aRoute.handler_)(aRequest, aRoute.NameIn(aRequest.path_));
  } catch (const std::exception& exception) {
    return leaf::new_error(StoreError{ Code::Malformed, exception.what() });
  }
}

leaf::result<Json>
PlatformRoutes::GetKey(const PlatformRequest&, const std::string& aName)
{
  BOOST_LEAF_AUTO(item, platform_.Get(aName));
  return ToJson(item);
}

leaf::result<Json>
PlatformRoutes::PutKey(const PlatformRequest& aRequest, const std::string& aName)
{
  Json(aRequest.body_)
    .dump(); // Throws if the value is not UTF-8, which a JSON response cannot hold.
  const auto lease = aRequest.query_.find("lease");
  const auto leaseId =
    lease == aRequest.query_.end() ? std::nullopt : std::optional<std::string>(lease->second);
  BOOST_LEAF_AUTO(version,
                  platform_.Put(aName, aRequest.body_, Number(aRequest, "if_version"), leaseId));
  return Json{ { "version", version } };
}

leaf::result<Json>
PlatformRoutes::DeleteKey(const PlatformRequest& aRequest, const std::string& aName)
{
  BOOST_LEAF_CHECK(platform_.Delete(aName, Number(aRequest, "if_version")));
  return Json::object();
}

leaf::result<Json>
PlatformRoutes::GetRange(const PlatformRequest& aRequest, const std::string&)
{
  BOOST_LEAF_AUTO(range, platform_.Range(Prefix(aRequest)));
  return Json{ { "items", ToJson(range.items_) }, { "sequence", range.sequence_ } };
}

leaf::result<Json>
PlatformRoutes::GetWatch(const PlatformRequest& aRequest, const std::string&)
{
  const std::chrono::milliseconds wait(Number(aRequest, "wait_ms"));
  BOOST_LEAF_AUTO(changes, platform_.Watch(Prefix(aRequest), Number(aRequest, "after"), wait));
  return Json{ { "items", ToJson(changes.items_) },
               { "deleted", changes.deleted_ },
               { "sequence", changes.sequence_ } };
}

leaf::result<Json>
PlatformRoutes::Grant(const PlatformRequest& aRequest, const std::string&)
{
  BOOST_LEAF_AUTO(lease,
                  platform_.GrantLease(std::chrono::milliseconds(Number(aRequest, "ttl_ms"))));
  return Json{ { "lease", lease } };
}

leaf::result<Json>
PlatformRoutes::Renew(const PlatformRequest&, const std::string& aName)
{
  BOOST_LEAF_CHECK(platform_.RenewLease(aName));
  return Json::object();
}

leaf::result<Json>
PlatformRoutes::Revoke(const PlatformRequest&, const std::string& aName)
{
  BOOST_LEAF_CHECK(platform_.RevokeLease(aName));
  return Json::object();
}

leaf::result<Json>
PlatformRoutes::GetHosts(const PlatformRequest&, const std::string&)
{
  BOOST_LEAF_AUTO(list, platform_.Fetch());
  Json hosts = Json::array();
  for (const ListedHost& host : list.hosts_) {
    hosts.push_back(ToJson(host));
  }
  return Json{ { "sequence", list.sequence_ }, { "hosts", hosts } };
}

leaf::result<Json>
PlatformRoutes::GetPower(const PlatformRequest&, const std::string& aName)
{
  BOOST_LEAF_AUTO(power, platform_.Power(aName));
  return ToJson(power);
}

leaf::result<Json>
PlatformRoutes::Reboot(const PlatformRequest&, const std::string& aName)
{
  BOOST_LEAF_CHECK(platform_.Reboot(aName));
  return Json::object();
}

leaf::result<Json>
PlatformRoutes::ChangeHosts(const PlatformRequest& aRequest, const std::string&)
{
  const Json body = Json::parse(aRequest.body_);
  for (const auto& [name, value] : body.items()) {
    if (name == "add") {
      for (const Json& host : value) {
        platform_.AddHost(ReadListedHost(host));
      }
      continue;
    }
    if (name != "leaving" && name != "live" && name != "remove") {
      throw std::invalid_argument("unknown change \"" + name + "\"");
    }
    for (const auto& id : value.get<std::vector<std::string>>()) {
      const bool found =
        name == "remove" ? platform_.RemoveHost(id) : platform_.MarkLeaving(id, name == "leaving");
      if (!found) {
        throw std::invalid_argument("host \"" + id + "\" does not exist");
      }
    }
  }
  return Json::object();
}

leaf::result<Json>
PlatformRoutes::ChangeFaults(const PlatformRequest& aRequest, const std::string&)
{
  const Json body = Json::parse(aRequest.body_);
  PlatformFaults checked;
  const std::lock_guard<std::mutex> lock(mutex_);
  for (const auto& [name, value] : body.items()) {
    const bool isAction =
      name == "expire_leases" || name == "take_snapshot" || name == "restart_with";
    if (!isAction && !SetFault(checked, name, value)) {
      throw std::invalid_argument("unknown fault \"" + name + "\"");
    }
  }
  if (body.contains("take_snapshot")) {
    snapshots_[body["take_snapshot"].get<std::string>()] = platform_.TakeSnapshot();
  }
  if (body.contains("restart_with")) {
    platform_.RestartWith(snapshots_.at(body["restart_with"].get<std::string>()));
  }
  if (body.value("expire_leases", false)) {
    platform_.ExpireAllLeases();
  }
  platform_.ChangeFaults([&](PlatformFaults& aFaults) {
    for (const auto& [name, value] : body.items()) {
      SetFault(aFaults, name, value);
    }
  });
  return Json::object();
}

leaf::result<Json>
PlatformRoutes::GetCalls(const PlatformRequest&, const std::string&)
{
  return ToJson(platform_.Calls());
}

}
