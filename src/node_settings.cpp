#include "sardinespoke/node_settings.h"

#include "json_document_p.h"
#include "json_schema_p.h"

#include <charconv>

namespace sardinespoke {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr uint64_t kMaxMilliseconds = 3600000;
constexpr double kMaxSeconds = 3600.0;
constexpr double kMaxCores = 1024.0;

json
AddressSchema()
{
  return JsonSchema::Pattern("^[0-9]{1,3}(\\.[0-9]{1,3}){3}:[0-9]{1,5}$",
                             "an IPv4 address and port, \"address:port\"");
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
      { "log", JsonSchema::OneOf({ "debug", "info", "warn", "error" }) } },
    { "id", "zone", "caller", "health", "peer", "store", "host_control" }));
  return kSchema;
}

Endpoint
ParseEndpoint(const json& aValue)
{
  const auto text = aValue.get<std::string>();
  const size_t colon = text.find(':');
  Endpoint endpoint{ text.substr(0, colon), 0 };
  std::from_chars(text.data() + colon + 1, text.data() + text.size(), endpoint.port_);
  return endpoint;
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
  settings.caller_ = ParseEndpoint(document.at("caller"));
  settings.health_ = ParseEndpoint(document.at("health"));
  settings.peer_ = ParseEndpoint(document.at("peer"));
  settings.store_ = ParseEndpoint(document.at("store"));
  settings.hostControl_ = ParseEndpoint(document.at("host_control"));
  settings.advice_ = document.value("advice", "");
  settings.cores_ = document.value("cores", settings.cores_);
  ReadMilliseconds(document, "min_lease_ms", settings.minLease_);
  ReadMilliseconds(document, "hold_max_ms", settings.holdMax_);
  ReadSeconds(document, "stop_limit_s", settings.stopLimit_);
  ReadMilliseconds(document, "thaw_ms", settings.pauseThreshold_);
  ReadSeconds(document, "move_s", settings.moveTime_);
  ReadSeconds(document, "maintenance_s", settings.maintenanceTime_);
  ReadSeconds(document, "keep_ended_s", settings.keepEnded_);
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
