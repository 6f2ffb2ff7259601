#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace sardinespoke {

/// Requests queued and running, per profile, as one entry host reports them.
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

/// Exchange of demand with the other entry hosts. Thread-safe.
class DemandExchangeI
{
public:
  virtual ~DemandExchangeI() = default;

  /// Sets this entry host's own demand; sent to the others within the byte budget.
  virtual void Publish(DemandReport aReport) = 0;

  /// @returns The latest table, this entry host included. Hosts not heard from for 1 s are left
  /// out. The same object as before as long as its content is the same.
  virtual std::shared_ptr<const DemandTable> Table() const = 0;
};

}
