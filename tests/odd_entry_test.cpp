#include "job_world.h"
#include "sardinespoke/job_record.h"

#include <gtest/gtest.h>

namespace sardinespoke {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Resources kHost{ 16000, 65536, 0 };
constexpr char kJob[] = "0000000000000001";
// Later than the start of any backend server.
constexpr int64_t kLaterStartMs = 4000000000000;

/// A pool of four backend servers, and entries of another writer.
class OddEntryTest : public testing::Test
{
protected:
  void Start()
  {
    world_.AddPool("births", 4, kHost);
    world_.Configure();
    world_.Run(seconds(1));
  }

  void TearDown() override
  {
    EXPECT_FALSE(world_.Fleet().Violations().Any()) << world_.Fleet().Violations().first_;
  }

  BackendEntry Entry(const std::string& aId, const std::string& aAddress) const
  {
    BackendEntry entry;
    entry.id_ = aId;
    entry.service_ = "births";
    entry.address_ = aAddress;
    entry.capacity_ = kHost;
    entry.startTimeMs_ = kLaterStartMs;
    return entry;
  }

  void Publish(const BackendEntry& aEntry)
  {
    world_.Store().Put("registry/" + aEntry.id_, PlainFleetFormat::EncodeEntry(aEntry));
  }

  /// Submits tasks that fill a number of backend servers.
  void Fill(const std::string& aPool, uint32_t aServers, milliseconds aDuration)
  {
    StepSpec step;
    step.taskCount_ = aServers * 16;
    step.cpuMilli_ = 1000;
    step.memoryMb_ = 1000;
    step.estimate_ = aDuration;
    EXPECT_EQ(world_.Submit(aPool, kJob, step).kind_, JobResponseKind::Accepted);
  }

  bool IsDone(milliseconds aLimit)
  {
    return world_.RunUntil([this] { return world_.StateOf("births", kJob) == JobState::Done; },
                           aLimit);
  }

  JobWorld world_;
};

// Fault reported by operators: hosts stopped following the list at the first unusable entry.
TEST_F(OddEntryTest, UnusableOnesDoNotHideOthers)
{
  world_.Store().Put("registry/a-first", std::string(20000, '['));
  Start();
  world_.Store().Put("registry/b-later", "\xff\xfe");
  world_.AddPool("permits", 2, kHost);
  world_.Configure();
  world_.Store().Put("registry/z-last", "{}");
  world_.Run(seconds(1));
  Fill("permits", 2, milliseconds(5000));
  EXPECT_TRUE(world_.RunUntil([this] { return world_.Starts() == 32; }, seconds(2)));
}

// An entry of a service that the configuration does not name must cost no calls.
TEST_F(OddEntryTest, OfAnUnnamedServiceIsNotPolled)
{
  Start();
  const size_t before = world_.Polls();
  BackendEntry entry = Entry("odd", "10.0.9.9:1");
  entry.service_ = "elsewhere";
  Publish(entry);
  world_.Run(seconds(3));
  EXPECT_EQ(world_.Polls(), before);
}

// A backend server of a service that a later configuration names must be used then.
TEST_F(OddEntryTest, OfAServiceNamedLaterIsUsed)
{
  Start();
  world_.Fleet().AddHosts("permits", 1, kHost);
  world_.Run(seconds(1));
  world_.AddPool("permits", 0, kHost);
  world_.Configure();
  world_.Run(seconds(1));
  StepSpec step;
  step.taskCount_ = 1;
  step.cpuMilli_ = 1000;
  EXPECT_EQ(world_.Submit("permits", kJob, step).kind_, JobResponseKind::Accepted);
  EXPECT_TRUE(world_.RunUntil([this] { return world_.Starts() == 1; }, seconds(2)));
}

// Tasks were started a second time beside running ones: an entry that named a live backend server's
// host or address and a later start was enough to take that server for ended.
TEST_F(OddEntryTest, ThatClaimsAPlaceEndsNoLiveServer)
{
  Start();
  Fill("births", 4, milliseconds(5000));
  world_.Run(milliseconds(500));
  BackendEntry host = Entry("odd-host", "10.0.9.9:1");
  host.host_ = world_.Fleet().HostOf("births", 0);
  Publish(host);
  Publish(Entry("odd-address", "10.0.0.1:2"));
  EXPECT_TRUE(IsDone(seconds(9)));
  EXPECT_EQ(world_.Starts(), 64U);
}

// The same with an entry under the id of a live server, which later writes its own again.
TEST_F(OddEntryTest, UnderALiveServersIdEndsNoRun)
{
  Start();
  Fill("births", 3, milliseconds(5000));
  world_.Run(milliseconds(500));
  const std::string own = world_.Store().Records().at("registry/backend-1").value_;
  BackendEntry entry = Entry("backend-1", "10.0.0.1:1");
  entry.host_ = world_.Fleet().HostOf("births", 0);
  Publish(entry);
  world_.Run(seconds(1));
  world_.Store().Put("registry/backend-1", own);
  EXPECT_TRUE(IsDone(seconds(9)));
  EXPECT_EQ(world_.Starts(), 48U);
  // It must still be used.
  StepSpec step;
  step.taskCount_ = 4;
  step.maxPerServer_ = 1;
  step.estimate_ = seconds(5);
  world_.Submit("births", "0000000000000002", step);
  EXPECT_TRUE(world_.RunUntil([this] { return world_.Starts() == 52; }, seconds(2)));
}

// The same before the leader knows the live server, which was then ignored for good.
TEST_F(OddEntryTest, SeenFirstUnderALiveServersIdDoesNotBarIt)
{
  world_.AddPool("births", 4, kHost);
  const std::string own = world_.Store().Records().at("registry/backend-1").value_;
  Publish(Entry("backend-1", "10.0.0.1:1"));
  world_.Configure();
  world_.Run(seconds(1));
  world_.Store().Put("registry/backend-1", own);
  world_.Run(seconds(1));
  Fill("births", 4, milliseconds(5000));
  EXPECT_TRUE(world_.RunUntil([this] { return world_.Starts() == 64; }, seconds(2)));
}

// A host was maintained while its tasks ran: an entry that names it hid its backend server.
TEST_F(OddEntryTest, ThatNamesAHostDoesNotHideItsServer)
{
  BackendEntry entry = Entry("a-odd", "10.0.9.9:1");
  entry.host_ = "host-births-0";
  entry.startTimeMs_ = 0;
  Publish(entry);
  Start();
  Fill("births", 4, milliseconds(5000));
  world_.Run(milliseconds(500));
  RolloutRequest request;
  request.number_ = 3;
  request.hosts_ = { "host-births-0" };
  request.duration_ = seconds(20);
  world_.RequestRollout(request);
  EXPECT_TRUE(IsDone(seconds(9)));
  EXPECT_EQ(world_.Starts(), 64U);
  EXPECT_TRUE(world_.RunUntil([this] { return world_.Fleet().Maintained() == 1; }, seconds(5)));
}

// One entry with an id too long for a key of the store would hold up every change of the leader.
TEST_F(OddEntryTest, OfAServerThatNeverAnsweredIsNotStored)
{
  Start();
  Publish(Entry("odd", "10.0.9.9:1"));
  world_.Run(seconds(2));
  EXPECT_EQ(world_.Store().Records().count("sardinespoke/backend/odd"), 0U);
  EXPECT_EQ(world_.Store().Records().count("sardinespoke/backend/backend-1"), 1U);
}

// Every occurrence of a job that is long overdue would be created at once.
TEST_F(OddEntryTest, JobsWithTooManyDueOccurrencesAreRefused)
{
  Start();
  JobRequest request;
  request.kind_ = JobRequestKind::Submit;
  request.host_ = "callers";
  request.path_ = std::string("/births/") + kJob;
  request.spec_.steps_.resize(1);
  request.spec_.steps_[0].taskCount_ = 1;
  request.spec_.repeats_ = 2000000;
  EXPECT_EQ(world_.Call(request).kind_, JobResponseKind::Invalid);
  request.spec_.interval_ = milliseconds(1);
  EXPECT_EQ(world_.Call(request).kind_, JobResponseKind::Invalid);
  request.spec_.firstDue_ = world_.Wall() + seconds(60);
  EXPECT_EQ(world_.Call(request).kind_, JobResponseKind::Accepted);
}

// Records under our own prefix must not end the process that reads them.
class OddOwnRecord : public testing::TestWithParam<const char*>
{};

TEST_P(OddOwnRecord, EndsNoLeader)
{
  const std::string deep = std::string(200000, '[') + std::string(200000, ']');
  for (const std::string& value :
       { std::string("{\"number\":\"3\",\"maintained\":7,\"id\":7}"),
         std::string(
           "{\"number\":3,\"maintained\":{},\"name\":7,\"address\":[],\"incarnation\":0}"),
         "{\"number\":3,\"maintained\":[],\"begun\":" + deep + "}",
         std::string("7"),
         deep }) {
    JobWorld world;
    world.Store().Put(GetParam(), value);
    world.AddPool("births", 1, kHost);
    world.Configure();
    world.Run(seconds(1));
  }
}

INSTANTIATE_TEST_SUITE_P(Keys,
                         OddOwnRecord,
                         testing::Values("sardinespoke/leader",
                                         "sardinespoke/leader-resigned",
                                         "sardinespoke/rollout/3",
                                         "sardinespoke/job/0000000000000001",
                                         "sardinespoke/backend/backend-1"));

Job
StoredJob()
{
  Job job;
  job.spec_.id_ = kJob;
  StepSpec step;
  step.taskCount_ = 4;
  job.spec_.steps_ = { step };
  return job;
}

bool
ReadsJob(const std::string& aText)
{
  JobSpec spec;
  QueuePolicy policy;
  int64_t accepted = 0;
  return DecodeJob(aText, spec, policy, accepted);
}

// A damaged row of a progress record brought a cancelled job back.
TEST(OddJobRecord, DamagedProgressKeepsTheCancel)
{
  JobTable table;
  const JobSpec spec = StoredJob().spec_;
  const uint32_t index = table.Add(spec, QueuePolicy(), TimePoint{}, milliseconds(0));
  EXPECT_FALSE(DecodeProgress(
    R"({"id":"1","started":true,"cancelled":true,"failed":false,"done":[["a"]],"failed_runs":[],
        "checkpoints":[]})",
    table,
    index));
  EXPECT_TRUE(table.At(index).cancelled_);
}

// Numbers of a stored job that no caller can have handed in must not be used.
TEST(OddJobRecord, NumbersOutOfRangeAreRefused)
{
  const std::string text = EncodeJob(StoredJob());
  ASSERT_TRUE(ReadsJob(text));
  for (const char* name : { "count",
                            "cpu_milli",
                            "memory_mb",
                            "estimate_ms",
                            "max_per_server",
                            "interval_ms",
                            "repeats",
                            "max_attempts",
                            "accepted_ms" }) {
    for (const char* number : { "-1", "18446744073709551615", "1e300", "9223372036854775807" }) {
      std::string odd = text;
      const std::string field = "\"" + std::string(name) + "\":";
      const size_t begin = odd.find(field) + field.size();
      odd.replace(begin, odd.find_first_of(",}", begin) - begin, number);
      EXPECT_FALSE(ReadsJob(odd)) << name << " " << number;
    }
  }
}

}
}
