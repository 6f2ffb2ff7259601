#pragma once

#include "sardinespoke/backend_entry.h"
#include "sardinespoke/job_table.h"

#include <string>

namespace sardinespoke {

/// Encodes what never changes about a job: what the caller handed in and the queue's policy.
std::string
EncodeJob(const Job& aJob);

/// @returns False if the text is not a job record.
bool
DecodeJob(const std::string& aText, JobSpec& aSpec, QueuePolicy& aPolicy, int64_t& aAcceptedWallMs);

/// Encodes what lasts of a job's progress: done tasks, used attempts, checkpoints, the outcome.
/// Placements are not stored; the backend servers' lists tell what runs.
std::string
EncodeProgress(const Job& aJob);

/// Applies a progress record to a job that was just decoded.
/// @returns False if the text is not a progress record; the job is then as before.
bool
DecodeProgress(const std::string& aText, JobTable& aTable, uint32_t aJob);

/// Encodes where a backend server is, for an owner that finds it missing from the registry.
std::string
EncodeBackend(const BackendEntry& aEntry);

/// @returns False if the text is not a backend record.
bool
DecodeBackend(const std::string& aText, BackendEntry& aEntry);

}
