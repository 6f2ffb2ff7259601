#pragma once

#include "sardinespoke/config_source.h"
#include "sardinespoke/demand_table.h"
#include "sardinespoke/key_value_store.h"
#include "sardinespoke/planner_inputs.h"

#include <string>

namespace sardinespoke {

/// Supplies the planner with the store's entry records, the demand table and the documents in
/// force.
class PlannerInputs final : public PlannerInputsI
{
public:
  PlannerInputs(KeyValueStoreI& aStore,
                std::string aKeyPrefix,
                ConfigSourceI& aConfig,
                DemandExchangeI& aExchange);

  leaf::result<std::vector<EntryReport>> EntryReports() override;
  std::map<std::string, double> DemandSlots() override;
  ConfigView Documents() override;

private:
  KeyValueStoreI& store_;
  const std::string entryPrefix_;
  ConfigSourceI& config_;
  DemandExchangeI& exchange_;
};

}
