#include "sardinespoke/node_settings.h"

#include "json_document_p.h"
#include "json_schema_p.h"
#include "listen_address_p.h"

#include <algorithm>

namespace sardinespoke {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr uint64_t kMaxMilliseconds = 3600000;
constexpr double kMaxSeconds = 3600.0;
constexpr double kMaxCores = 1024.0;
constexpr size_t kMaxParts = 100;
constexpr uint64_t kMaxMemoryMb = 1U << 24U;
constexpr uint64_t kMaxDescriptors = 1U << 20U;
constexpr uint64_t kMaxBudgetBytes = 1U << 30U;
// Part of the memory that clients may occupy. The rest is for the process without load, 40 MB, and
// for the state of a leader, 92 MB at 3,000 backend servers.
constexpr uint64_t kBudgetPercent = 25;
// Part of the descriptors for clients; a leader has a connection to each backend server as well.
constexpr uint64_t kConnectionPercent = 25;
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

json
IntakeSchema()
{
  return JsonSchema::ClosedObject(
    { { "budget_bytes", JsonSchema::Integer(1U << 20U, kMaxBudgetBytes, "bytes") },
      { "address_percent", JsonSchema::Integer(1, 100, "percent") },
      { "max_connections", JsonSchema::Integer(4, kMaxDescriptors, "connections") },
      { "max_body_bytes", JsonSchema::Integer(1024, kMaxBudgetBytes, "bytes") },
      { "max_header_fields", JsonSchema::Integer(8, 65536, "header fields") },
      { "max_head_bytes", JsonSchema::Integer(8192, 1U << 20U, "bytes") },
      { "head_timeout_ms", JsonSchema::Integer(1, kMaxMilliseconds, "milliseconds") },
      { "idle_timeout_ms", JsonSchema::Integer(1, kMaxMilliseconds, "milliseconds") },
      { "transfer_timeout_ms", JsonSchema::Integer(1, kMaxMilliseconds, "milliseconds") },
      { "least_bytes_per_second", JsonSchema::Integer(1, kMaxBudgetBytes, "bytes") } },
    json::array());
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
      { "memory_mb", JsonSchema::Integer(0, kMaxMemoryMb, "megabytes") },
      { "max_descriptors", JsonSchema::Integer(0, kMaxDescriptors, "descriptors") },
      { "intake", IntakeSchema() },
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

template<typename Number>
void
ReadNumber(const json& aDocument, const char* aName, Number& aValue)
{
  aValue = aDocument.value(aName, aValue);
}

IntakeLimits
ReadIntake(const json& aDocument)
{
  IntakeLimits limits;
  const auto memoryMb = aDocument.value<uint64_t>("memory_mb", 0);
  if (memoryMb > 0) {
    limits.budgetBytes_ = (memoryMb << 20U) * kBudgetPercent / 100;
  }
  const auto descriptors = aDocument.value<uint64_t>("max_descriptors", 0);
  if (descriptors > 0) {
    limits.maxConnections_ = static_cast<uint32_t>(
      std::clamp<uint64_t>(descriptors * kConnectionPercent / 100, 1, limits.maxConnections_));
  }
  if (!aDocument.contains("intake")) {
    return limits;
  }
  const json& intake = aDocument.at("intake");
  ReadNumber(intake, "budget_bytes", limits.budgetBytes_);
  ReadNumber(intake, "address_percent", limits.addressPercent_);
  ReadNumber(intake, "max_connections", limits.maxConnections_);
  ReadNumber(intake, "max_body_bytes", limits.maxBodyBytes_);
  ReadNumber(intake, "max_header_fields", limits.maxHeaderFields_);
  ReadNumber(intake, "max_head_bytes", limits.maxHeadBytes_);
  ReadMilliseconds(intake, "head_timeout_ms", limits.headTimeout_);
  ReadMilliseconds(intake, "idle_timeout_ms", limits.idleTimeout_);
  ReadMilliseconds(intake, "transfer_timeout_ms", limits.transferTimeout_);
  ReadNumber(intake, "least_bytes_per_second", limits.leastBytesPerSecond_);
  return limits;
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
  settings.intake_ = ReadIntake(document);
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
