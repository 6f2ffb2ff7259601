#include "sardinespoke/errors.h"

#include <array>
#include <cstddef>

namespace sardinespoke {

namespace {

template<typename Code>
using NameTable = std::array<const char*, static_cast<size_t>(Code::Count)>;

template<typename Code>
const char*
Lookup(const NameTable<Code>& aTable, Code aCode)
{
  return aCode < Code::Count ? aTable[static_cast<size_t>(aCode)] : "invalid";
}

constexpr NameTable<StoreError::Code> kStoreNames{ "unreachable",  "outcome-unknown",
                                                   "conflict",     "not-found",
                                                   "too-large",    "sequence-lost",
                                                   "lease-lapsed", "malformed" };
constexpr NameTable<PeerError::Code> kPeerNames{ "unreachable", "timeout", "malformed", "refused" };
constexpr NameTable<BackendError::Code> kBackendNames{ "not-sent", "slots-refused", "incomplete",
                                                       "timeout",  "too-large",     "stale" };
constexpr NameTable<ConfigError::Code> kConfigNames{ "not-json", "schema",          "semantic",
                                                     "conflict", "outcome-unknown", "store-down",
                                                     "not-found" };
constexpr NameTable<AdmissionError::Code> kAdmissionNames{
  "unknown-service", "queue-full", "deadline-unreachable", "no-view", "stopping",
  "no-backend",      "cancelled"
};
constexpr NameTable<PlannerError::Code> kPlannerNames{ "not-holder",     "conflict",
                                                       "store-down",     "budget-exhausted",
                                                       "unknown-host",   "invalid-transition",
                                                       "outcome-unknown" };

}

const char*
CodeName(StoreError::Code aCode)
{
  return Lookup(kStoreNames, aCode);
}

const char*
CodeName(PeerError::Code aCode)
{
  return Lookup(kPeerNames, aCode);
}

const char*
CodeName(BackendError::Code aCode)
{
  return Lookup(kBackendNames, aCode);
}

const char*
CodeName(ConfigError::Code aCode)
{
  return Lookup(kConfigNames, aCode);
}

const char*
CodeName(AdmissionError::Code aCode)
{
  return Lookup(kAdmissionNames, aCode);
}

const char*
CodeName(PlannerError::Code aCode)
{
  return Lookup(kPlannerNames, aCode);
}

}
