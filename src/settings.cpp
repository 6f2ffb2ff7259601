#include "sardinespoke/settings.h"

#include "json_document_p.h"

namespace sardinespoke {

namespace {

// JSON Schema of the settings file. Durations are integers in fields that end in "_ms".
constexpr const char* kSchema = R"json({
  "type": "object",
  "additionalProperties": false,
  "required": ["id", "zone", "region", "caller", "admin", "peer", "platform"],
  "definitions": {
    "endpoint": {
      "type": "object",
      "additionalProperties": false,
      "required": ["address", "port"],
      "properties": {
        "address": {"type": "string", "pattern": "^[0-9]{1,3}(\\.[0-9]{1,3}){3}$"},
        "port": {"type": "integer", "minimum": 1, "maximum": 65535}
      }
    }
  },
  "properties": {
    "id": {"type": "string", "pattern": "^[a-z0-9][a-z0-9-]{0,62}$"},
    "zone": {"type": "string", "minLength": 1},
    "region": {"type": "string", "minLength": 1},
    "caller": {"$ref": "#/definitions/endpoint"},
    "admin": {"$ref": "#/definitions/endpoint"},
    "peer": {"$ref": "#/definitions/endpoint"},
    "platform": {"$ref": "#/definitions/endpoint"},
    "seed_peers": {
      "type": "array",
      "maxItems": 32,
      "items": {"type": "string", "pattern": "^[0-9]{1,3}(\\.[0-9]{1,3}){3}:[0-9]{1,5}$"}
    },
    "key_prefix": {"type": "string", "pattern": "^[a-z0-9-]+/$"},
    "limits": {
      "type": "object",
      "additionalProperties": false,
      "properties": {
        "max_body_bytes": {"type": "integer", "minimum": 1024, "maximum": 1073741824},
        "max_answer_bytes": {"type": "integer", "minimum": 1024, "maximum": 1073741824},
        "max_caller_connections": {"type": "integer", "minimum": 1, "maximum": 20000},
        "retry_percent": {"type": "integer", "minimum": 0, "maximum": 100},
        "control_bytes_per_second": {"type": "integer", "minimum": 1000, "maximum": 10000000},
        "stop_grace_ms": {"type": "integer", "minimum": 0, "maximum": 600000},
        "stop_limit_ms": {"type": "integer", "minimum": 0, "maximum": 3600000}
      }
    },
    "log": {
      "type": "object",
      "additionalProperties": false,
      "properties": {
        "level": {"enum": ["debug", "info", "warn", "error"]}
      }
    }
  }
})json";

Endpoint
EndpointOf(const nlohmann::json& aValue)
{
  return Endpoint{ aValue.at("address").get<std::string>(), aValue.at("port").get<uint16_t>() };
}

/// Two listeners of one process cannot share an address and port.
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
  static const auto schema = nlohmann::json::parse(kSchema);
  BOOST_LEAF_AUTO(document, ParseStrictJson(aText));
  BOOST_LEAF_CHECK(CheckSchema(document, schema));

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
