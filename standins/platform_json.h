#pragma once

#include "memory_platform.h"

#include <nlohmann/json.hpp>

namespace sardinespoke {

/// Conversions between the platform's types and the JSON of its protocol. The readers throw
/// exceptions of the JSON library or std::invalid_argument for invalid input.
nlohmann::json
ToJson(const KeyValueItem& aItem);
nlohmann::json
ToJson(const std::vector<KeyValueItem>& aItems);
nlohmann::json
ToJson(const ListedHost& aHost);
nlohmann::json
ToJson(const HostPower& aPower);
nlohmann::json
ToJson(const PlatformCalls& aCalls);

/// Reads a host as it appears in the host list; "state" may be absent and means "live".
ListedHost
ReadListedHost(const nlohmann::json& aJson);

/// Sets one fault.
/// @param aName Name of the fault, such as "store_down".
/// @returns False if there is no fault of this name.
bool
SetFault(PlatformFaults& aFaults, const std::string& aName, const nlohmann::json& aValue);

}
