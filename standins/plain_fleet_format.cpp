#include "plain_fleet_format.h"

#include "sardinespoke/job_record.h"

#include <nlohmann/json.hpp>

namespace sardinespoke {

using nlohmann::json;
using std::chrono::milliseconds;

std::string
PlainFleetFormat::EncodeEntry(const BackendEntry& aEntry)
{
  return json{ { "entry", EncodeBackend(aEntry) }, { "draining", aEntry.draining_ } }.dump();
}

std::string
PlainFleetFormat::EncodeConfig(const FleetConfig& aConfig)
{
  json queues = json::array();
  for (const QueuePolicy& queue : aConfig.queues_) {
    queues.push_back({ { "name", queue.name_ },
                       { "host", queue.host_ },
                       { "prefix", queue.prefix_ },
                       { "service", queue.service_ },
                       { "priority", queue.priority_ },
                       { "max_attempts", queue.maxAttempts_ },
                       { "stretch", queue.stretch_ },
                       { "latency_target_ms", queue.latencyTarget_.count() },
                       { "public", queue.isPublic_ },
                       { "advised", queue.advised_ } });
  }
  json services = json::array();
  for (const ServicePolicy& service : aConfig.services_) {
    services.push_back({ { "name", service.name_ }, { "spare", service.spare_ } });
  }
  json config{ { "version", aConfig.version_ },
               { "max_body_bytes", aConfig.maxBodyBytes_ },
               { "queues", queues },
               { "services", services } };
  if (aConfig.tenants_) {
    config["tenants"] = json::array();
    for (const TenantPolicy& tenant : *aConfig.tenants_) {
      config["tenants"].push_back({ { "name", tenant.name_ },
                                    { "keys", tenant.apiKeys_ },
                                    { "weight", tenant.weight_ },
                                    { "cpu_milli", tenant.cap_.cpuMilli_ },
                                    { "memory_mb", tenant.cap_.memoryMb_ },
                                    { "accelerators", tenant.cap_.accelerators_ } });
    }
  }
  return config.dump();
}

std::string
PlainFleetFormat::EncodeRollout(const RolloutRequest& aRequest)
{
  return json{
    { "rollout", aRequest.number_ },
    { "hosts", aRequest.hosts_ },
    { "duration_ms", aRequest.duration_.count() },
    { "max_down", aRequest.maxDown_ }
  }.dump();
}

bool
PlainFleetFormat::ReadBackend(const Record& aRecord, BackendEntry& aEntry) const
{
  const json body = json::parse(aRecord.value_, nullptr, false);
  if (!body.is_object() || !DecodeBackend(body.value("entry", ""), aEntry)) {
    return false;
  }
  aEntry.draining_ = body.value("draining", false);
  return true;
}

bool
PlainFleetFormat::ReadConfig(const Record& aRecord, FleetConfig& aConfig) const
{
  const json body = json::parse(aRecord.value_, nullptr, false);
  if (!body.is_object() || !body.contains("version")) {
    return false;
  }
  aConfig.version_ = body.at("version").get<int64_t>();
  aConfig.maxBodyBytes_ = body.at("max_body_bytes").get<uint64_t>();
  for (const json& row : body.at("queues")) {
    QueuePolicy queue;
    row.at("name").get_to(queue.name_);
    row.at("host").get_to(queue.host_);
    row.at("prefix").get_to(queue.prefix_);
    row.at("service").get_to(queue.service_);
    row.at("priority").get_to(queue.priority_);
    row.at("max_attempts").get_to(queue.maxAttempts_);
    row.at("stretch").get_to(queue.stretch_);
    queue.latencyTarget_ = milliseconds(row.at("latency_target_ms").get<int64_t>());
    row.at("public").get_to(queue.isPublic_);
    row.at("advised").get_to(queue.advised_);
    aConfig.queues_.push_back(std::move(queue));
  }
  for (const json& row : body.at("services")) {
    aConfig.services_.push_back(
      ServicePolicy{ row.at("name").get<std::string>(), row.at("spare").get<bool>() });
  }
  if (!body.contains("tenants")) {
    return true;
  }
  aConfig.tenants_.emplace();
  for (const json& row : body.at("tenants")) {
    TenantPolicy tenant;
    row.at("name").get_to(tenant.name_);
    row.at("keys").get_to(tenant.apiKeys_);
    row.at("weight").get_to(tenant.weight_);
    tenant.cap_ = Resources{ row.at("cpu_milli").get<int64_t>(),
                             row.at("memory_mb").get<int64_t>(),
                             row.at("accelerators").get<int64_t>() };
    aConfig.tenants_->push_back(std::move(tenant));
  }
  return true;
}

bool
PlainFleetFormat::ReadRollout(const Record& aRecord, RolloutRequest& aRequest) const
{
  const json body = json::parse(aRecord.value_, nullptr, false);
  if (!body.is_object() || !body.contains("rollout")) {
    return false;
  }
  aRequest.number_ = body.at("rollout").get<int64_t>();
  body.at("hosts").get_to(aRequest.hosts_);
  aRequest.duration_ = milliseconds(body.at("duration_ms").get<int64_t>());
  body.at("max_down").get_to(aRequest.maxDown_);
  return true;
}

RecordWrite
PlainFleetFormat::RolloutStatus(int64_t aNumber, bool aDone) const
{
  return RecordWrite{ "rollout-status/" + std::to_string(aNumber), aDone ? "done" : "running" };
}

}
