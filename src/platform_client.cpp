#include "sardinespoke/platform_client.h"

#include "bounded_json_p.h"
#include "http_pool_p.h"

#include <nlohmann/json.hpp>

#include <optional>

namespace sardinespoke {

namespace {

using Code = StoreError::Code;
using Json = nlohmann::json;

/// @returns The error code for a status other than 200. The outcome is unknown for a status that
/// the protocol does not define.
Code
CodeOfStatus(long aStatus, Code aNotFound)
{
  switch (aStatus) {
    case 404:
      return aNotFound;
    case 409:
      return Code::Conflict;
    case 410:
      return Code::SequenceLost;
    case 413:
      return Code::TooLarge;
    case 503:
      return Code::Unreachable;
    default:
      return Code::OutcomeUnknown;
  }
}

/// Parses the JSON body of a response.
/// @param aOnFailure Malformed for reads; OutcomeUnknown for writes, which may have taken effect.
template<typename Value, typename Reader>
leaf::result<Value>
ParseBody(const HttpResponse& aResponse, Code aOnFailure, const Reader& aReader)
{
  const Json body = ParseJson(aResponse.body_);
  if (body.is_discarded()) {
    return leaf::new_error(StoreError{ aOnFailure, "the response is not JSON" });
  }
  try {
    return aReader(body);
  } catch (const Json::exception& exception) {
    return leaf::new_error(StoreError{ aOnFailure, exception.what() });
  }
}

KeyValueItem
ReadItem(const Json& aJson)
{
  return { aJson.at("key"), aJson.at("value"), aJson.at("version") };
}

std::vector<KeyValueItem>
ReadItems(const Json& aJson)
{
  std::vector<KeyValueItem> items;
  for (const Json& item : aJson) {
    items.push_back(ReadItem(item));
  }
  return items;
}

/// Throws a JSON exception if the state is neither "live" nor "leaving".
bool
IsLeaving(const Json& aState)
{
  if (aState != "live" && aState != "leaving") {
    throw Json::other_error::create(501, "unknown host state " + aState.dump(), nullptr);
  }
  return aState == "leaving";
}

HostPower::State
ReadPowerState(const Json& aState)
{
  if (aState == "up") {
    return HostPower::State::Up;
  }
  if (aState == "rebooting") {
    return HostPower::State::Rebooting;
  }
  if (aState == "down") {
    return HostPower::State::Down;
  }
  throw Json::other_error::create(501, "unknown power state " + aState.dump(), nullptr);
}

}

PlatformClient::PlatformClient(PlatformClientOptions aOptions)
  : options_(std::move(aOptions))
  , pool_(std::make_unique<HttpPool>(options_.clientName_, options_.connectTimeout_))
{
}

PlatformClient::~PlatformClient() = default;

std::string
PlatformClient::KeyUrl(const std::string& aKey) const
{
  return options_.baseUrl_ + "/kv/v1/keys/" + HttpPool::Encode(aKey, "/");
}

leaf::result<HttpResponse>
PlatformClient::Call(HttpRequest aRequest, Code aNotFound)
{
  aRequest.timeout_ += options_.callTimeout_;
  BOOST_LEAF_AUTO(response, pool_->Call(aRequest));
  if (response.status_ == 200) {
    return response;
  }
  const std::string message = std::string(aRequest.method_) + " " + aRequest.url_ + ": status " +
                              std::to_string(response.status_) + " " + response.body_;
  return leaf::new_error(StoreError{ CodeOfStatus(response.status_, aNotFound), message });
}

leaf::result<KeyValueItem>
PlatformClient::Get(const std::string& aKey)
{
  BOOST_LEAF_AUTO(response, Call({ "GET", KeyUrl(aKey), "", {} }, Code::NotFound));
  return ParseBody<KeyValueItem>(response, Code::Malformed, &ReadItem);
}

leaf::result<uint64_t>
PlatformClient::Put(const std::string& aKey,
                    const std::string& aValue,
                    uint64_t aIfVersion,
                    const std::optional<std::string>& aLease)
{
  std::string url = KeyUrl(aKey) + "?if_version=" + std::to_string(aIfVersion);
  if (aLease) {
    url += "&lease=" + HttpPool::Encode(*aLease);
  }
  BOOST_LEAF_AUTO(response, Call({ "PUT", url, aValue, {} }, Code::LeaseLapsed));
  return ParseBody<uint64_t>(response, Code::OutcomeUnknown, [](const Json& aJson) {
    return aJson.at("version").get<uint64_t>();
  });
}

leaf::result<void>
PlatformClient::Delete(const std::string& aKey, uint64_t aIfVersion)
{
  const std::string url = KeyUrl(aKey) + "?if_version=" + std::to_string(aIfVersion);
  BOOST_LEAF_CHECK(Call({ "DELETE", url, "", {} }, Code::Conflict));
  return {};
}

leaf::result<KeyValueRange>
PlatformClient::Range(const std::string& aPrefix)
{
  const std::string url = options_.baseUrl_ + "/kv/v1/range?prefix=" + HttpPool::Encode(aPrefix);
  BOOST_LEAF_AUTO(response, Call({ "GET", url, "", {} }, Code::NotFound));
  return ParseBody<KeyValueRange>(response, Code::Malformed, [](const Json& aJson) {
    return KeyValueRange{ ReadItems(aJson.at("items")), aJson.at("sequence") };
  });
}

leaf::result<KeyValueChanges>
PlatformClient::Watch(const std::string& aPrefix, uint64_t aAfter, std::chrono::milliseconds aWait)
{
  const std::string url = options_.baseUrl_ + "/kv/v1/watch?prefix=" + HttpPool::Encode(aPrefix) +
                          "&after=" + std::to_string(aAfter) +
                          "&wait_ms=" + std::to_string(aWait.count());
  BOOST_LEAF_AUTO(response, Call({ "GET", url, "", aWait }, Code::NotFound));
  return ParseBody<KeyValueChanges>(response, Code::Malformed, [](const Json& aJson) {
    return KeyValueChanges{ ReadItems(aJson.at("items")),
                            aJson.at("deleted").get<std::vector<std::string>>(),
                            aJson.at("sequence") };
  });
}

leaf::result<std::string>
PlatformClient::GrantLease(std::chrono::milliseconds aTtl)
{
  const std::string url =
    options_.baseUrl_ + "/kv/v1/leases?ttl_ms=" + std::to_string(aTtl.count());
  BOOST_LEAF_AUTO(response, Call({ "POST", url, "", {} }, Code::OutcomeUnknown));
  return ParseBody<std::string>(response, Code::OutcomeUnknown, [](const Json& aJson) {
    return aJson.at("lease").get<std::string>();
  });
}

leaf::result<void>
PlatformClient::RenewLease(const std::string& aLease)
{
  const std::string url = options_.baseUrl_ + "/kv/v1/leases/" + HttpPool::Encode(aLease);
  BOOST_LEAF_CHECK(Call({ "PUT", url, "", {} }, Code::LeaseLapsed));
  return {};
}

leaf::result<void>
PlatformClient::RevokeLease(const std::string& aLease)
{
  const std::string url = options_.baseUrl_ + "/kv/v1/leases/" + HttpPool::Encode(aLease);
  BOOST_LEAF_CHECK(Call({ "DELETE", url, "", {} }, Code::LeaseLapsed));
  return {};
}

leaf::result<HostListSnapshot>
PlatformClient::Fetch()
{
  BOOST_LEAF_AUTO(response,
                  Call({ "GET", options_.baseUrl_ + "/hosts/v1/list", "", {} }, Code::NotFound));
  const std::lock_guard lock(listMutex_);
  if (!listText_.empty() && response.body_ == listText_) {
    return list_;
  }
  const auto read = [](const Json& aJson) {
    HostListSnapshot list;
    list.sequence_ = aJson.at("sequence");
    for (const Json& host : aJson.at("hosts")) {
      list.hosts_.push_back({ host.at("id"),
                              host.at("address"),
                              host.at("rack"),
                              host.at("zone"),
                              host.at("region"),
                              IsLeaving(host.at("state")) });
    }
    return list;
  };
  BOOST_LEAF_ASSIGN(list_, ParseBody<HostListSnapshot>(response, Code::Malformed, read));
  listText_ = response.body_;
  return list_;
}

leaf::result<void>
PlatformClient::Reboot(const std::string& aHost)
{
  const std::string url =
    options_.baseUrl_ + "/hosts/v1/hosts/" + HttpPool::Encode(aHost) + "/reboot";
  BOOST_LEAF_CHECK(Call({ "POST", url, "", {} }, Code::NotFound));
  return {};
}

leaf::result<HostPower>
PlatformClient::Power(const std::string& aHost)
{
  const std::string url = options_.baseUrl_ + "/hosts/v1/hosts/" + HttpPool::Encode(aHost);
  BOOST_LEAF_AUTO(response, Call({ "GET", url, "", {} }, Code::NotFound));
  return ParseBody<HostPower>(response, Code::Malformed, [](const Json& aJson) {
    return HostPower{ ReadPowerState(aJson.at("state")), aJson.at("boot") };
  });
}

}
