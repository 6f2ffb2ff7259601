#include "sardinespoke/node_settings.h"

#include "json_document_p.h"
#include "json_schema_p.h"
#include "listen_address_p.h"

namespace sardinespoke {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr uint64_t kMaxMilliseconds = 3600000;
constexpr double kMaxSeconds = 3600.0;
constexpr double kMaxCores = 1024.0;
constexpr size_t kMaxParts = 100;
constexpr char kAddressText[] = "an IPv4 address and port, \"address:port\"";

json
AddressSchema()
{
  return JsonSchema::Pattern("^[0-9]{1,3}(\\.[0-9]{1,3}){3}:[0-9]{1,5}$", kAddressText);
}

json
NumberSchema(double aMaximum, const std::string& aUnit)
{
  return json{ { "type", "number" },
               { "minimum", 0 },
               { "maximum", aMaximum },
               { "description", "a number of " + aUnit + " from 0" } };
}

const JsonSchema&
Schema()
{
  static const JsonSchema kSchema(JsonSchema::ClosedObject(
    { { "id", JsonSchema::Pattern("^.+$", "the name of this entry host") },
      { "zone", JsonSchema::Pattern("^.+$", "the name of a data centre") },
      { "caller", AddressSchema() },
      { "health", AddressSchema() },
      { "peer", AddressSchema() },
      { "store", AddressSchema() },
      { "host_control", AddressSchema() },
      { "advice",
        JsonSchema::Pattern("^([0-9]{1,3}(\\.[0-9]{1,3}){3}:[0-9]{1,5})?$",
                            "an IPv4 address and port, \"address:port\", or nothing") },
      { "cores", NumberSchema(kMaxCores, "cores") },
      { "min_lease_ms", JsonSchema::Integer(1, kMaxMilliseconds, "milliseconds") },
      { "hold_max_ms", JsonSchema::Integer(1, kMaxMilliseconds, "milliseconds") },
      { "stop_limit_s", NumberSchema(kMaxSeconds, "seconds") },
      { "thaw_ms", JsonSchema::Integer(1, kMaxMilliseconds, "milliseconds") },
      { "move_s", NumberSchema(kMaxSeconds, "seconds") },
      { "maintenance_s", NumberSchema(kMaxSeconds, "seconds") },
      { "keep_ended_s", NumberSchema(kMaxSeconds, "seconds") },
      { "config_apply_ms", JsonSchema::Integer(1, kMaxMilliseconds, "milliseconds") },
      { "config_stretch_ms", JsonSchema::Integer(0, kMaxMilliseconds, "milliseconds") },
      { "platform_parts", JsonSchema::List(JsonSchema::Text(), kMaxParts, "at most 100 names") },
      { "log", JsonSchema::OneOf({ "debug", "info", "warn", "error" }) } },
    { "id", "zone", "caller", "health", "peer", "store", "host_control" }));
  return kSchema;
}

/// @returns The endpoint of a field. Errors: ConfigError::Schema.
leaf::result<Endpoint>
ParseEndpoint(const json& aDocument, const char* aName)
{
  const auto text = aDocument.at(aName).get<std::string>();
  const auto address = ParseListenAddress(text);
  if (!address || address->sin_port == 0) {
    return leaf::new_error(ConfigError{ ConfigError::Code::Schema,
                                        std::string("/") + aName,
                                        "found \"" + text + "\"; expected " + kAddressText });
  }
  return Endpoint{ text.substr(0, text.find(':')), ntohs(address->sin_port) };
}

void
ReadMilliseconds(const json& aDocument, const char* aName, milliseconds& aValue)
{
  aValue = milliseconds(aDocument.value(aName, aValue.count()));
}

void
ReadSeconds(const json& aDocument, const char* aName, milliseconds& aValue)
{
  constexpr double kMillisecondsPerSecond = 1000.0;
  if (aDocument.contains(aName)) {
    aValue = milliseconds(
      static_cast<int64_t>(aDocument.at(aName).get<double>() * kMillisecondsPerSecond));
  }
}

}

leaf::result<NodeSettings>
NodeSettings::Parse(const std::string& aText)
{
  BOOST_LEAF_AUTO(document, ParseStrict(aText, ""));
  BOOST_LEAF_CHECK(Schema().Check(document));
  NodeSettings settings;
  settings.id_ = document.at("id").get<std::string>();
  settings.zone_ = document.at("zone").get<std::string>();
  BOOST_LEAF_ASSIGN(settings.caller_, ParseEndpoint(document, "caller"));
  BOOST_LEAF_ASSIGN(settings.health_, ParseEndpoint(document, "health"));
  BOOST_LEAF_ASSIGN(settings.peer_, ParseEndpoint(document, "peer"));
  BOOST_LEAF_ASSIGN(settings.store_, ParseEndpoint(document, "store"));
  BOOST_LEAF_ASSIGN(settings.hostControl_, ParseEndpoint(document, "host_control"));
  settings.advice_ = document.value("advice", "");
  if (!settings.advice_.empty()) {
    BOOST_LEAF_CHECK(ParseEndpoint(document, "advice"));
  }
  settings.cores_ = document.value("cores", settings.cores_);
  ReadMilliseconds(document, "min_lease_ms", settings.minLease_);
  ReadMilliseconds(document, "hold_max_ms", settings.holdMax_);
  ReadSeconds(document, "stop_limit_s", settings.stopLimit_);
  ReadMilliseconds(document, "thaw_ms", settings.pauseThreshold_);
  ReadSeconds(document, "move_s", settings.moveTime_);
  ReadSeconds(document, "maintenance_s", settings.maintenanceTime_);
  ReadSeconds(document, "keep_ended_s", settings.keepEnded_);
  ReadMilliseconds(document, "config_apply_ms", settings.configApply_);
  ReadMilliseconds(document, "config_stretch_ms", settings.configStretch_);
  settings.platformParts_ = document.value("platform_parts", settings.platformParts_);
  settings.logLevel_ = document.value("log", settings.logLevel_);
  return settings;
}

bool
NodeSettings::Reload(const NodeSettings& aNext)
{
  logLevel_ = aNext.logLevel_;
  return *this == aNext;
}

}
