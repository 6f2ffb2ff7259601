#include "caller_codec.h"
#include "fleet_format.h"
#include "fuzz_input.h"
#include "json_fields.h"
#include "sardinespoke/job_record.h"

// NOLINTNEXTLINE(readability-identifier-naming): name that libFuzzer calls.
extern "C" int
LLVMFuzzerTestOneInput(const uint8_t* aData, size_t aSize)
{
  using namespace sardinespoke;
  const platform::FleetFormat format;
  Record record;
  record.value_ = TextOf(aData, aSize);
  BackendEntry entry;
  record.key_ = format.RegistryPrefix() + "i-1";
  if (format.ReadBackend(record, entry)) {
    BackendEntry again;
    Require(DecodeBackend(EncodeBackend(entry), again) && again.address_ == entry.address_);
  }
  FleetConfig config;
  record.key_ = format.OperatorPrefix() + "config";
  format.ReadConfig(record, config);
  RolloutRequest request;
  record.key_ = format.OperatorPrefix() + "wave/1";
  format.ReadRollout(record, request);

  const platform::CallerCodec codec;
  CallerCall call;
  call.method_ = "POST";
  call.body_ = record.value_;
  Job job;
  const JobRequest submission = codec.Decode(call);
  if (submission.problem_.empty()) {
    job.spec_ = submission.spec_;
    JobSpec spec;
    QueuePolicy policy;
    int64_t accepted = 0;
    Require(DecodeJob(EncodeJob(job), spec, policy, accepted));
  }
  JobResponse answer;
  answer.message_ = record.value_;
  codec.Encode(answer);
  platform::DecodeBase64(record.value_);
  return 0;
}
