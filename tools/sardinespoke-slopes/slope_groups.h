#pragma once

#include <iosfwd>
#include <vector>

namespace sardinespoke {

/// A group of slopes that are measured together.
struct SlopeGroup
{
  const char* name_ = "";
  const char* help_ = "";
  void (*run_)(std::ostream&) = nullptr;
};

/// Bytes, processor time and memory of the two documents.
void
MeasureDocuments(std::ostream& aOut);

/// Processor time of the scheduler core, of fair_share and of slot_shares.
void
MeasureScheduling(std::ostream& aOut);

/// Processor time of the leader's rounds, checks of submissions and ticks while jobs wait.
void
MeasureJobScheduling(std::ostream& aOut);

/// Processor time of one step of the planner core.
void
MeasurePlanner(std::ostream& aOut);

/// Bytes and memory of demand reports, bytes a second of the exchange.
void
MeasureExchange(std::ostream& aOut);

/// Processor time and memory of request ids.
void
MeasureRequestIds(std::ostream& aOut);

/// Calls a second at the platform and bytes a second between entry hosts.
void
MeasureStoreCalls(std::ostream& aOut);

/// Processor time of HTTP calls to many servers.
void
MeasureHttpCalls(std::ostream& aOut);

const std::vector<SlopeGroup>&
SlopeGroups();

}
