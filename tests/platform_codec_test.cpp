#include "caller_codec.h"
#include "fleet_format.h"
#include "json_fields.h"

#include <gtest/gtest.h>

namespace sardinespoke::platform {
namespace {

using std::chrono::milliseconds;

constexpr char kEntry[] =
  R"({"service":"births","address":"10.0.0.9:80","zone":"a","state":"ready","machine":"m-1",
      "capacity":{"cpu":16000,"mem-mb":32768,"gpu":0},"labels":["a","r1-2"],"born":17,"seq":4})";

Record
Entry(const std::string& aValue)
{
  Record record;
  record.key_ = "servers/i-1";
  record.value_ = aValue;
  return record;
}

Record
Config(const std::string& aTenants)
{
  Record record;
  record.key_ = "op/config";
  record.value_ = R"({"version":7,"routes":[],"services":[],"tenants":)" + aTenants + "}";
  return record;
}

JobRequest
Post(const std::string& aBody)
{
  CallerCall call;
  call.method_ = "POST";
  call.host_ = "callers.example";
  call.path_ = "/births/0123456789abcdef";
  call.body_ = aBody;
  return CallerCodec().Decode(call);
}

// Fields must not be read by a wrong name or lost.
TEST(FleetFormat, ReadsAnEntryOfABackendServer)
{
  BackendEntry entry;
  ASSERT_TRUE(FleetFormat().ReadBackend(Entry(kEntry), entry));
  EXPECT_EQ(entry.id_, "i-1");
  EXPECT_EQ(entry.service_, "births");
  EXPECT_EQ(entry.host_, "m-1");
  EXPECT_EQ(entry.rack_, "r1-2");
  EXPECT_EQ(entry.capacity_.memoryMb_, 32768);
  EXPECT_EQ(entry.startTimeMs_, 17);
  EXPECT_FALSE(entry.draining_);
}

// A room that shrinks to nothing and grows again must be read, though the server has not restarted.
TEST(FleetFormat, ReadsEachCapacityOfOneIncarnation)
{
  const std::string whole = kEntry;
  const std::string room = R"({"cpu":16000,"mem-mb":32768,"gpu":0})";
  const auto read = [&](const std::string& aRoom) {
    std::string text = whole;
    text.replace(text.find(room), room.size(), aRoom);
    BackendEntry entry;
    EXPECT_TRUE(FleetFormat().ReadBackend(Entry(text), entry)) << aRoom;
    EXPECT_EQ(entry.startTimeMs_, 17);
    return entry.capacity_;
  };
  const Resources shrunk = read(R"({"cpu":0,"mem-mb":1024})");
  EXPECT_EQ(shrunk.cpuMilli_, 0);
  EXPECT_EQ(shrunk.memoryMb_, 1024);
  EXPECT_EQ(shrunk.accelerators_, 0);
  EXPECT_EQ(read(R"({"cpu":8000,"mem-mb":0,"gpu":2})").accelerators_, 2);
  EXPECT_EQ(read(room).cpuMilli_, 16000);
}

// Keys, weights and caps must be read by their names on the wire.
TEST(FleetFormat, ReadsTenants)
{
  FleetConfig config;
  ASSERT_TRUE(FleetFormat().ReadConfig(
    Config(R"([{"name":"t","api-keys":["k1","k2"],"priority":1,"weight":2.5,
                "cap":{"cpu":5000,"mem-mb":100,"gpu":1}}])"),
    config));
  ASSERT_TRUE(config.tenants_.has_value());
  ASSERT_EQ(config.tenants_->size(), 1U);
  const TenantPolicy& tenant = config.tenants_->front();
  EXPECT_EQ(tenant.name_, "t");
  EXPECT_EQ(tenant.apiKeys_, (std::vector<std::string>{ "k1", "k2" }));
  EXPECT_DOUBLE_EQ(tenant.weight_, 2.5);
  EXPECT_EQ(tenant.cap_.cpuMilli_, 5000);
  EXPECT_EQ(tenant.cap_.memoryMb_, 100);
  EXPECT_EQ(tenant.cap_.accelerators_, 1);
}

// A mistake in one tenant must take neither the configuration nor the keys of the others.
TEST(FleetFormat, LeavesOutWhatIsUnreadableInATenant)
{
  FleetConfig config;
  ASSERT_TRUE(FleetFormat().ReadConfig(
    Config(R"([7, {"api-keys":["k0"]}, {"name":"a","api-keys":[1,"","k1"],"weight":-1,"cap":5},
               {"name":"a","api-keys":["k2"]}, {"name":"b","api-keys":"k3","weight":0,
                "cap":{"cpu":-1}}])"),
    config));
  ASSERT_EQ(config.tenants_->size(), 2U);
  const TenantPolicy& first = config.tenants_->front();
  EXPECT_EQ(first.apiKeys_, std::vector<std::string>{ "k1" });
  EXPECT_GT(first.weight_, 0.0);
  EXPECT_EQ(first.cap_.cpuMilli_, 0);
  EXPECT_TRUE(config.tenants_->back().apiKeys_.empty());
  EXPECT_GT(config.tenants_->back().weight_, 0.0);
}

// A mistake in one resource of a cap must not lift the bounds of the others.
TEST(FleetFormat, KeepsWhatIsReadableInACap)
{
  FleetConfig config;
  ASSERT_TRUE(
    FleetFormat().ReadConfig(Config(R"([{"name":"a","cap":{"cpu":5000,"mem-mb":-1,"gpu":2}},
               {"name":"b","cap":{"cpu":"all","mem-mb":100,"gpu":1.5}}])"),
                             config));
  ASSERT_EQ(config.tenants_->size(), 2U);
  const Resources first = config.tenants_->front().cap_;
  EXPECT_EQ(first.cpuMilli_, 5000);
  EXPECT_EQ(first.memoryMb_, 0);
  EXPECT_EQ(first.accelerators_, 2);
  EXPECT_EQ(config.tenants_->back().cap_.memoryMb_, 100);
}

// Text in place of the list must not open all queues to everybody.
TEST(FleetFormat, KnowsNoKeyIfTheListOfTenantsIsUnreadable)
{
  FleetConfig config;
  ASSERT_TRUE(FleetFormat().ReadConfig(Config(R"("none")"), config));
  ASSERT_TRUE(config.tenants_.has_value());
  EXPECT_TRUE(config.tenants_->empty());
}

// Malformed entries must be neither used nor stop the process.
TEST(FleetFormat, RejectsMalformedEntries)
{
  const std::string whole = kEntry;
  const auto with = [&whole](const std::string& aFrom, const std::string& aTo) {
    std::string text = whole;
    return text.replace(text.find(aFrom), aFrom.size(), aTo);
  };
  const std::vector<std::string> values{
    "",
    "\xff\xfe",
    "[]",
    "7",
    "{}",
    whole.substr(0, whole.size() - 1),
    with("\"ready\"", "\"resting\""),
    with("\"ready\"", "3"),
    with("16000", "\"many\""),
    with("[\"a\",\"r1-2\"]", "[1,2]"),
    with("[\"a\",\"r1-2\"]", "null"),
    with("\"10.0.0.9:80\"", "\"\""),
  };
  for (const std::string& value : values) {
    BackendEntry entry;
    EXPECT_FALSE(FleetFormat().ReadBackend(Entry(value), entry)) << value;
  }
}

// The policy of a queue must not be read by wrong names.
TEST(FleetFormat, ReadsTheConfiguration)
{
  Record record;
  record.key_ = "op/config";
  record.value_ = R"({"version":7,"routes":[{"name":"r-1","host":"h","prefix":"/p/","service":"s",
    "priority":1,"max-attempts":3,"stretch":1.6,"target-latency-ms":600,
    "advice":{"decide-ms":50,"period-ms":4,"valid-ms":3000}}],
    "services":[{"name":"s","spare":true}],
    "limits":{"max-body-bytes":262144}})";
  FleetConfig config;
  ASSERT_TRUE(FleetFormat().ReadConfig(record, config));
  ASSERT_EQ(config.queues_.size(), 1U);
  const QueuePolicy& queue = config.queues_.front();
  EXPECT_EQ(queue.maxAttempts_, 3U);
  EXPECT_EQ(queue.latencyTarget_, milliseconds(600));
  EXPECT_TRUE(queue.advised_);
  EXPECT_EQ(queue.advicePeriod_, milliseconds(4));
  EXPECT_TRUE(config.services_.front().spare_);
  EXPECT_EQ(config.maxBodyBytes_, 262144U);
  record.value_ = R"({"version":8,"routes":[{"name":"r-1"}],"services":[]})";
  EXPECT_FALSE(FleetFormat().ReadConfig(record, config)) << "a route without a prefix";
}

// A roll-out must not be read as a configuration or the reverse.
TEST(FleetFormat, ReadsARollout)
{
  Record record;
  record.key_ = "op/wave/3";
  record.value_ = R"({"wave":3,"machines":["m-1","m-2"],"duration-s":20.5,"cap":2})";
  RolloutRequest request;
  FleetConfig config;
  EXPECT_FALSE(FleetFormat().ReadConfig(record, config));
  ASSERT_TRUE(FleetFormat().ReadRollout(record, request));
  EXPECT_EQ(request.hosts_.size(), 2U);
  EXPECT_EQ(request.duration_, milliseconds(20500));
  EXPECT_EQ(request.maxDown_, 2U);
}

// Fields that are absent, since they have their default value, must be read.
TEST(CallerCodec, ReadsAJob)
{
  const JobRequest call =
    Post(R"({"spec":"text","steps":[{"count":4,"cpu":500,"mem-mb":256,"estimate-ms":900},
           {"count":2,"after":[0],"checkpointing":true,"max-per-server":1,"may-miss":1,
            "long-running":true,"target-ms":40,"fills":true}]})");
  EXPECT_EQ(call.problem_, "");
  ASSERT_EQ(call.spec_.steps_.size(), 2U);
  EXPECT_EQ(call.spec_.steps_[0].cpuMilli_, 500);
  EXPECT_TRUE(call.spec_.steps_[1].continuous_);
  EXPECT_TRUE(call.spec_.steps_[1].bestEffort_);
  EXPECT_EQ(call.spec_.steps_[1].maxUnavailable_, 1U);
  EXPECT_EQ(call.spec_.steps_[1].latencyTarget_, milliseconds(40));
}

// A malformed job must not be accepted in part.
TEST(CallerCodec, MalformedJobsReportAProblem)
{
  const std::vector<std::string> bodies{
    "",
    "\xff",
    "[]",
    R"({"spec":"x"})",
    R"({"spec":"x","steps":[]})",
    R"({"spec":"x","steps":[{}]})",
    R"({"spec":"x","steps":[{"count":0}]})",
    R"({"spec":"x","steps":[{"count":"four"}]})",
    R"({"spec":"x","steps":[{"count":1,"cpu":-1}]})",
    R"({"spec":"x","steps":[{"count":1,"after":[0]}]})",
    R"({"spec":"x","steps":[{"count":1,"after":["a"]}]})",
    R"({"spec":"x","steps":[{"count":9999999999}]})",
    R"({"spec":7,"steps":[{"count":1}]})",
    R"({"spec":")" + std::string(4001, 'x') + R"(","steps":[{"count":1}]})",
  };
  for (const std::string& body : bodies) {
    EXPECT_NE(Post(body).problem_, "") << body.substr(0, 60);
  }
}

// An unknown outcome must not be reported to the caller as a refusal.
TEST(CallerCodec, OnlyRefusalsAnswer503)
{
  JobResponse answer;
  answer.kind_ = JobResponseKind::Refused;
  const CallerReply refused = CallerCodec().Encode(answer);
  EXPECT_EQ(refused.status_, 503U);
  EXPECT_GT(refused.retryAfter_, milliseconds(0));
  answer.kind_ = JobResponseKind::Unknown;
  EXPECT_EQ(CallerCodec().Encode(answer).status_, 504U);
  answer.kind_ = JobResponseKind::NoJob;
  EXPECT_EQ(CallerCodec().Encode(answer).status_, 410U);
}

// Values must survive the encoding for the store unchanged.
TEST(JsonFields, Base64KeepsEveryByte)
{
  std::string bytes;
  for (int value = 0; value < 256; ++value) {
    bytes += static_cast<char>(value);
    EXPECT_EQ(DecodeBase64(EncodeBase64(bytes)), bytes);
  }
}

}
}
