#include "sardinespoke/settings.h"

#include "json_document_p.h"
#include "json_schema_p.h"

namespace sardinespoke {

namespace {

constexpr uint64_t kKibibyte = 1024;
constexpr uint64_t kGibibyte = 1ULL << 30U;
constexpr uint64_t kMaxPort = 65535;
constexpr uint64_t kMaxCallerConnections = 20000;
constexpr uint64_t kMinControlBytesPerSecond = 1000;
constexpr uint64_t kMaxControlBytesPerSecond = 10000000;
constexpr uint64_t kMaxStopGraceMs = 600000;
constexpr uint64_t kMaxStopLimitMs = 3600000;
constexpr size_t kMaxSeedPeers = 32;

nlohmann::json
EndpointSchema()
{
  return JsonSchema::ClosedObject(
    { { "address",
        JsonSchema::Pattern("^[0-9]{1,3}(\\.[0-9]{1,3}){3}$", "an IPv4 address as text") },
      { "port", JsonSchema::Integer(1, kMaxPort, "the port") } },
    { "address", "port" });
}

nlohmann::json
LimitsSchema()
{
  return JsonSchema::ClosedObject(
    { { "max_body_bytes", JsonSchema::Integer(kKibibyte, kGibibyte, "bytes") },
      { "max_answer_bytes", JsonSchema::Integer(kKibibyte, kGibibyte, "bytes") },
      { "max_caller_connections", JsonSchema::Integer(1, kMaxCallerConnections, "connections") },
      { "retry_percent", JsonSchema::Integer(0, 100, "percent") },
      { "control_bytes_per_second",
        JsonSchema::Integer(
          kMinControlBytesPerSecond, kMaxControlBytesPerSecond, "bytes a second") },
      { "stop_grace_ms", JsonSchema::Integer(0, kMaxStopGraceMs, "milliseconds") },
      { "stop_limit_ms", JsonSchema::Integer(0, kMaxStopLimitMs, "milliseconds") } },
    nlohmann::json::array());
}

const JsonSchema&
Schema()
{
  static const JsonSchema kSchema(JsonSchema::ClosedObject(
    { { "id",
        JsonSchema::Pattern("^[a-z0-9][a-z0-9-]{0,62}$",
                            "1 to 63 lower-case letters, digits and dashes") },
      { "zone", JsonSchema::Pattern("^.+$", "the name of a data centre") },
      { "region", JsonSchema::Pattern("^.+$", "the name of a region") },
      { "caller", EndpointSchema() },
      { "admin", EndpointSchema() },
      { "peer", EndpointSchema() },
      { "platform", EndpointSchema() },
      { "seed_peers",
        JsonSchema::List(JsonSchema::Pattern("^[0-9]{1,3}(\\.[0-9]{1,3}){3}:[0-9]{1,5}$",
                                             "\"address:port\" of a peer"),
                         kMaxSeedPeers,
                         "a list of at most " + std::to_string(kMaxSeedPeers) +
                           " peer addresses") },
      { "key_prefix",
        JsonSchema::Pattern("^[a-z0-9-]+/$",
                            "lower-case letters, digits and dashes, then a slash") },
      { "limits", LimitsSchema() },
      { "log",
        JsonSchema::ClosedObject(
          { { "level", JsonSchema::OneOf({ "debug", "info", "warn", "error" }) } },
          nlohmann::json::array()) } },
    { "id", "zone", "region", "caller", "admin", "peer", "platform" }));
  return kSchema;
}

Endpoint
EndpointOf(const nlohmann::json& aValue)
{
  return Endpoint{ aValue.at("address").get<std::string>(), aValue.at("port").get<uint16_t>() };
}

/// Checks that no two listeners of the process share an address and port.
leaf::result<void>
CheckListeners(const Settings& aSettings)
{
  const auto caller = aSettings.caller_.Text();
  const auto admin = aSettings.admin_.Text();
  const auto peer = aSettings.peer_.Text();
  if (caller == admin || admin == peer) {
    return leaf::new_error(ConfigError{ ConfigError::Code::Semantic,
                                        "/admin",
                                        "is the address of another listener: " + admin +
                                          "; expected three different addresses" });
  }
  if (caller == peer) {
    return leaf::new_error(ConfigError{ ConfigError::Code::Semantic,
                                        "/peer",
                                        "is the address of the caller listener: " + peer +
                                          "; expected three different addresses" });
  }
  return {};
}

leaf::result<void>
CheckLimits(const Settings& aSettings)
{
  if (aSettings.stopLimit_ < aSettings.stopGrace_) {
    return leaf::new_error(ConfigError{ ConfigError::Code::Semantic,
                                        "/limits/stop_limit_ms",
                                        "is " + std::to_string(aSettings.stopLimit_.count()) +
                                          "; expected at least stop_grace_ms, which is " +
                                          std::to_string(aSettings.stopGrace_.count()) });
  }
  return {};
}

void
ReadLimits(const nlohmann::json& aLimits, Settings& aSettings)
{
  aSettings.maxBodyBytes_ = aLimits.value("max_body_bytes", aSettings.maxBodyBytes_);
  aSettings.maxAnswerBytes_ = aLimits.value("max_answer_bytes", aSettings.maxAnswerBytes_);
  aSettings.maxCallerConnections_ =
    aLimits.value("max_caller_connections", aSettings.maxCallerConnections_);
  aSettings.retryPercent_ = aLimits.value("retry_percent", aSettings.retryPercent_);
  aSettings.controlBytesPerSecond_ =
    aLimits.value("control_bytes_per_second", aSettings.controlBytesPerSecond_);
  aSettings.stopGrace_ =
    std::chrono::milliseconds(aLimits.value("stop_grace_ms", aSettings.stopGrace_.count()));
  aSettings.stopLimit_ =
    std::chrono::milliseconds(aLimits.value("stop_limit_ms", aSettings.stopLimit_.count()));
}

}

leaf::result<Settings>
Settings::Parse(const std::string& aText)
{
  BOOST_LEAF_AUTO(document, ParseStrict(aText, ""));
  BOOST_LEAF_CHECK(Schema().Check(document));

  Settings settings;
  settings.id_ = document.at("id").get<std::string>();
  settings.zone_ = document.at("zone").get<std::string>();
  settings.region_ = document.at("region").get<std::string>();
  settings.caller_ = EndpointOf(document.at("caller"));
  settings.admin_ = EndpointOf(document.at("admin"));
  settings.peer_ = EndpointOf(document.at("peer"));
  settings.platform_ = EndpointOf(document.at("platform"));
  settings.keyPrefix_ = document.value("key_prefix", settings.keyPrefix_);
  settings.seedPeers_ = document.value("seed_peers", settings.seedPeers_);
  if (document.contains("limits")) {
    ReadLimits(document.at("limits"), settings);
  }
  if (document.contains("log")) {
    settings.logLevel_ = document.at("log").value("level", settings.logLevel_);
  }
  BOOST_LEAF_CHECK(CheckListeners(settings));
  BOOST_LEAF_CHECK(CheckLimits(settings));
  return settings;
}

}
