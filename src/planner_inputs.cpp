#include "planner_inputs_p.h"

#include "sardinespoke/entry_record.h"

namespace sardinespoke {

PlannerInputs::PlannerInputs(KeyValueStoreI& aStore,
                             std::string aKeyPrefix,
                             ConfigSourceI& aConfig,
                             DemandExchangeI& aExchange)
  : store_(aStore)
  , entryPrefix_(std::move(aKeyPrefix) + "entry/")
  , config_(aConfig)
  , exchange_(aExchange)
{
}

leaf::result<std::vector<EntryReport>>
PlannerInputs::EntryReports()
{
  BOOST_LEAF_AUTO(range, store_.Range(entryPrefix_));
  std::vector<EntryReport> reports;
  for (const auto& item : range.items_) {
    const auto record = EntryRecord::Parse(item.value_);
    if (!record) {
      // An unreadable record must not be treated as absent: its entry host may be dispatching.
      return leaf::new_error(StoreError{ StoreError::Code::Malformed, item.key_ });
    }
    reports.push_back({ record->id_,
                        record->incarnation_,
                        record->fleetRevision_,
                        record->busy_,
                        record->suspects_ });
  }
  return reports;
}

std::map<std::string, double>
PlannerInputs::DemandSlots()
{
  std::map<std::string, double> byPool;
  const auto view = config_.Current();
  if (!view || !view->profiles_) {
    return byPool;
  }
  std::map<std::string, std::string> poolOfProfile;
  for (const auto& [name, service] : view->profiles_->services_) {
    poolOfProfile[service.profile_] = service.pool_;
  }
  const auto table = exchange_.Table();
  for (const auto& [entryHost, report] : table->byEntryHost_) {
    for (const auto& [profile, demand] : report.byProfile_) {
      const auto pool = poolOfProfile.find(profile);
      if (pool == poolOfProfile.end()) {
        continue;
      }
      byPool[pool->second] += demand;
    }
  }
  return byPool;
}

ConfigView
PlannerInputs::Documents()
{
  const auto view = config_.Current();
  return view ? *view : ConfigView();
}

}
