#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace sardinespoke {

/// Demand of one entry host: requests queued and running, per profile.
struct DemandReport
{
  std::string entryHost_;
  std::map<std::string, uint32_t> byProfile_;

  bool operator==(const DemandReport&) const = default;
};

/// Demand of all live entry hosts; the input of slot sharing.
struct DemandTable
{
  std::map<std::string, DemandReport> byEntryHost_;

  bool operator==(const DemandTable&) const = default;
};

/// Exchanges demand with the other entry hosts. Thread-safe.
class DemandExchangeI
{
public:
  virtual ~DemandExchangeI() = default;

  /// Sets this entry host's own demand; sent to the others within the byte budget.
  virtual void Publish(DemandReport aReport) = 0;

  /// @returns The latest table, including this entry host. Entry hosts whose last message is older
  /// than 1 s are left out. Returns the same object as long as the content is unchanged.
  virtual std::shared_ptr<const DemandTable> Table() const = 0;
};

}
