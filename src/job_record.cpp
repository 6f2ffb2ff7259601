#include "sardinespoke/job_record.h"

#include "bounded_json_p.h"
#include "number_range_p.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <optional>
#include <set>

namespace sardinespoke {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

json
EncodeStep(const StepSpec& aStep)
{
  return json{ { "count", aStep.taskCount_ },
               { "cpu_milli", aStep.cpuMilli_ },
               { "memory_mb", aStep.memoryMb_ },
               { "accelerators", aStep.accelerators_ },
               { "estimate_ms", aStep.estimate_.count() },
               { "after", aStep.after_ },
               { "checkpointing", aStep.checkpointing_ },
               { "gang", aStep.gang_ },
               { "same_rack", aStep.sameRack_ },
               { "label", aStep.requiredLabel_ },
               { "data_rack", aStep.dataRack_ },
               { "max_per_server", aStep.maxPerServer_ },
               { "speculative", aStep.speculative_ },
               { "lasting", aStep.continuous_ },
               { "image", aStep.image_ },
               { "latency_target_ms", aStep.latencyTarget_.count() },
               { "fills_idle", aStep.bestEffort_ },
               { "may_miss", aStep.maxUnavailable_ } };
}

/// Thrown if a number is missing or out of range; never leaves this file.
struct NumberError
{};

int64_t
Integer(const json& aObject, const char* aName, NumberRange aRange)
{
  const auto number = ReadInteger(aObject.at(aName), aRange);
  if (!number) {
    throw NumberError();
  }
  return *number;
}

uint32_t
Count(const json& aObject, const char* aName)
{
  return static_cast<uint32_t>(Integer(aObject, aName, kCountRange));
}

milliseconds
Duration(const json& aObject, const char* aName)
{
  return milliseconds(Integer(aObject, aName, kDurationRange));
}

StepSpec
DecodeStep(const json& aStep)
{
  StepSpec step;
  step.taskCount_ = Count(aStep, "count");
  step.cpuMilli_ = Count(aStep, "cpu_milli");
  step.memoryMb_ = Count(aStep, "memory_mb");
  step.accelerators_ = Count(aStep, "accelerators");
  step.estimate_ = Duration(aStep, "estimate_ms");
  aStep.at("after").get_to(step.after_);
  aStep.at("checkpointing").get_to(step.checkpointing_);
  aStep.at("gang").get_to(step.gang_);
  aStep.at("same_rack").get_to(step.sameRack_);
  aStep.at("label").get_to(step.requiredLabel_);
  aStep.at("data_rack").get_to(step.dataRack_);
  step.maxPerServer_ = Count(aStep, "max_per_server");
  aStep.at("speculative").get_to(step.speculative_);
  aStep.at("lasting").get_to(step.continuous_);
  aStep.at("image").get_to(step.image_);
  step.latencyTarget_ = Duration(aStep, "latency_target_ms");
  aStep.at("fills_idle").get_to(step.bestEffort_);
  step.maxUnavailable_ = Count(aStep, "may_miss");
  return step;
}

/// @param aService Service of the queue when the job was accepted.
json
EncodePolicy(const QueuePolicy& aPolicy, const std::string& aService)
{
  return json{ { "name", aPolicy.name_ },
               { "service", aService },
               { "priority", aPolicy.priority_ },
               { "max_attempts", aPolicy.maxAttempts_ },
               { "stretch", aPolicy.stretch_ },
               { "latency_target_ms", aPolicy.latencyTarget_.count() },
               { "advised", aPolicy.advised_ },
               { "advice_decide_ms", aPolicy.adviceDecide_.count() },
               { "advice_period_ms", aPolicy.advicePeriod_.count() } };
}

QueuePolicy
DecodePolicy(const json& aPolicy)
{
  QueuePolicy policy;
  aPolicy.at("name").get_to(policy.name_);
  aPolicy.at("service").get_to(policy.service_);
  policy.priority_ = Count(aPolicy, "priority");
  policy.maxAttempts_ = Count(aPolicy, "max_attempts");
  aPolicy.at("stretch").get_to(policy.stretch_);
  policy.latencyTarget_ = Duration(aPolicy, "latency_target_ms");
  aPolicy.at("advised").get_to(policy.advised_);
  policy.adviceDecide_ = Duration(aPolicy, "advice_decide_ms");
  policy.advicePeriod_ = Duration(aPolicy, "advice_period_ms");
  return policy;
}

/// Runs a decoder, which throws if the text has another format.
/// @returns False if it threw.
bool
TryDecode(const std::string& aText, const std::function<void(const json&)>& aDecode)
{
  try {
    aDecode(ParseJson(aText));
    return true;
  } catch (const json::exception&) {
    return false;
  } catch (const NumberError&) {
    return false;
  }
}

}

std::string
EncodeJob(const Job& aJob)
{
  json steps = json::array();
  for (const StepSpec& step : aJob.spec_.steps_) {
    steps.push_back(EncodeStep(step));
  }
  return json{
    { "id", aJob.spec_.id_ },
    { "payload", aJob.spec_.payload_ },
    { "steps", std::move(steps) },
    { "first_due_ms", aJob.spec_.firstDue_.count() },
    { "interval_ms", aJob.spec_.interval_.count() },
    { "repeats", aJob.spec_.repeats_ },
    { "queue", EncodePolicy(aJob.policy_, aJob.originalService_) },
    { "tenant", aJob.spec_.tenant_ },
    { "accepted_ms", aJob.acceptedWall_.count() }
  }.dump();
}

bool
DecodeJob(const std::string& aText, JobSpec& aSpec, QueuePolicy& aPolicy, int64_t& aAcceptedWallMs)
{
  return TryDecode(aText, [&](const json& aRecord) {
    aRecord.at("id").get_to(aSpec.id_);
    aRecord.at("payload").get_to(aSpec.payload_);
    for (const json& step : aRecord.at("steps")) {
      aSpec.steps_.push_back(DecodeStep(step));
    }
    aSpec.firstDue_ = milliseconds(Integer(aRecord, "first_due_ms", kUnixTimeRange));
    aSpec.interval_ = Duration(aRecord, "interval_ms");
    aSpec.repeats_ = Count(aRecord, "repeats");
    aPolicy = DecodePolicy(aRecord.at("queue"));
    aSpec.queue_ = aPolicy.name_;
    aSpec.tenant_ = aRecord.value("tenant", ""); // Earlier releases wrote none.
    aAcceptedWallMs = Integer(aRecord, "accepted_ms", kUnixTimeRange);
  });
}

std::string
EncodeProgress(const Job& aJob)
{
  json done = json::array();
  json failed = json::array();
  json checkpoints = json::array();
  json crashes = json::array();
  for (uint32_t occurrence = 0; occurrence < aJob.occurrences_.size(); ++occurrence) {
    const auto& steps = aJob.occurrences_[occurrence].steps_;
    for (uint32_t step = 0; step < steps.size(); ++step) {
      json finished = json::array();
      for (uint32_t index = 0; index < steps[step].tasks_.size(); ++index) {
        const Task& task = steps[step].tasks_[index];
        if (task.phase_ == TaskPhase::Done) {
          finished.push_back(index);
        }
        if (!task.failedRuns_.empty()) {
          failed.push_back({ occurrence, step, index, task.failedRuns_ });
        }
        if (task.crashes_ > 0) {
          crashes.push_back({ occurrence, step, index, task.crashes_, task.inTrial_ });
        }
        if (!task.checkpoint_.empty()) {
          checkpoints.push_back({ occurrence, step, index, task.checkpoint_ });
        }
      }
      if (!finished.empty()) {
        done.push_back({ occurrence, step, std::move(finished) });
      }
    }
  }
  json record{ { "id", aJob.spec_.id_ },
               { "started", aJob.started_ },
               { "cancelled", aJob.cancelled_ },
               { "failed", aJob.failed_ },
               { "done", std::move(done) },
               { "failed_runs", std::move(failed) },
               { "checkpoints", std::move(checkpoints) },
               { "crashes", std::move(crashes) } };
  if (aJob.services_ != std::set<std::string>{ aJob.originalService_ }) {
    record["service"] = aJob.policy_.service_;
    record["services"] = aJob.services_;
  }
  return record.dump();
}

bool
DecodeProgress(const std::string& aText, JobTable& aTable, uint32_t aJob)
{
  Job& job = aTable.At(aJob);
  return TryDecode(aText, [&](const json& aRecord) {
    const auto locate = [&](const json& aRow, const json& aIndex) {
      TaskRef ref;
      const TaskId id{ job.spec_.id_,
                       aRow.at(0).get<uint32_t>(),
                       aRow.at(1).get<uint32_t>(),
                       aIndex.get<uint32_t>() };
      return aTable.Locate(id, ref) ? std::optional<TaskRef>(ref) : std::nullopt;
    };
    // First, so that a damaged row does not bring a cancelled job back.
    aRecord.at("started").get_to(job.started_);
    aRecord.at("cancelled").get_to(job.cancelled_);
    aRecord.at("failed").get_to(job.failed_);
    if (aRecord.contains("services")) {
      JobTable::RestoreServices(job,
                                aRecord.at("service").get<std::string>(),
                                aRecord.at("services").get<std::set<std::string>>());
    }
    for (const json& row : aRecord.at("done")) {
      for (const json& index : row.at(2)) {
        // Earlier releases also wrote continuous tasks, which Finish() leaves waiting.
        if (const auto ref = locate(row, index)) {
          aTable.Finish(*ref, job.accepted_);
        }
      }
    }
    for (const json& row : aRecord.at("failed_runs")) {
      const auto ref = locate(row, row.at(2));
      // Earlier releases also wrote those of continuous tasks, without a limit.
      if (ref && !aTable.SpecOf(*ref).continuous_) {
        row.at(3).get_to(aTable.At(*ref).failedRuns_);
      }
    }
    for (const json& row : aRecord.at("checkpoints")) {
      if (const auto ref = locate(row, row.at(2))) {
        aTable.RestoreCheckpoint(*ref, row.at(3).get<std::string>());
      }
    }
    if (!aRecord.contains("crashes")) {
      return; // Written by an earlier release.
    }
    for (const json& row : aRecord.at("crashes")) {
      const auto ref = locate(row, row.at(2));
      const auto crashes = ReadInteger(row.at(3), kCountRange);
      if (!crashes) {
        throw NumberError();
      }
      if (ref) {
        aTable.RestoreCrashes(*ref, static_cast<uint32_t>(*crashes), row.at(4).get<bool>());
      }
    }
  });
}

std::string
EncodeBackend(const BackendEntry& aEntry)
{
  return json{
    { "id", aEntry.id_ },
    { "service", aEntry.service_ },
    { "address", aEntry.address_ },
    { "zone", aEntry.zone_ },
    { "host", aEntry.host_ },
    { "rack", aEntry.rack_ },
    { "labels", aEntry.labels_ },
    { "cpu_milli", aEntry.capacity_.cpuMilli_ },
    { "memory_mb", aEntry.capacity_.memoryMb_ },
    { "accelerators", aEntry.capacity_.accelerators_ },
    { "born_ms", aEntry.startTimeMs_ }
  }.dump();
}

bool
DecodeBackend(const std::string& aText, BackendEntry& aEntry)
{
  return TryDecode(aText, [&](const json& aRecord) {
    aRecord.at("id").get_to(aEntry.id_);
    aRecord.at("service").get_to(aEntry.service_);
    aRecord.at("address").get_to(aEntry.address_);
    aRecord.at("zone").get_to(aEntry.zone_);
    aRecord.at("host").get_to(aEntry.host_);
    aRecord.at("rack").get_to(aEntry.rack_);
    aRecord.at("labels").get_to(aEntry.labels_);
    aEntry.capacity_.cpuMilli_ = Count(aRecord, "cpu_milli");
    aEntry.capacity_.memoryMb_ = Count(aRecord, "memory_mb");
    aEntry.capacity_.accelerators_ = Count(aRecord, "accelerators");
    aEntry.startTimeMs_ = Integer(aRecord, "born_ms", kUnixTimeRange);
  });
}

}
