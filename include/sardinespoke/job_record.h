#pragma once

#include "sardinespoke/backend_entry.h"
#include "sardinespoke/job_table.h"

#include <string>

namespace sardinespoke {

/// Encodes the immutable part of a job: the submission and the policy of its queue.
std::string
EncodeJob(const Job& aJob);

/// @returns False if the text is not a job record.
bool
DecodeJob(const std::string& aText, JobSpec& aSpec, QueuePolicy& aPolicy, int64_t& aAcceptedWallMs);

/// Encodes the durable part of a job's progress: done tasks, used attempts, checkpoints, outcome.
/// Placements are not stored; a new leader polls the backend servers for what they run.
std::string
EncodeProgress(const Job& aJob);

/// Applies a progress record to a newly decoded job.
/// @returns False if the text is not a whole progress record; what precedes the error is applied.
bool
DecodeProgress(const std::string& aText, JobTable& aTable, uint32_t aJob);

/// Encodes a backend server for later leaders, which may find it missing from the registry.
std::string
EncodeBackend(const BackendEntry& aEntry);

/// @returns False if the text is not a backend record.
bool
DecodeBackend(const std::string& aText, BackendEntry& aEntry);

}
