#include "job_steps.h"
#include "job_world.h"

#include "sardinespoke/job_record.h"

#include <gtest/gtest.h>

namespace sardinespoke {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr size_t kServers = 4; // Of each service.
constexpr uint32_t kTasks = 4;

/// How a leader ends.
enum class LeaderEnd
{
  Stopped, ///< It resigns and hands its leases over.
  Killed,
  Count
};

/// A job is accepted while its queue is sent to "births". The tasks of its second step run wherever
/// the queue is sent when the first step is done.
class ChangedServiceTest : public testing::Test
{
protected:
  void SetUp() override
  {
    for (const char* service : { "births", "market", "permits" }) {
      world_.AddPool(service, kServers, kHost);
    }
    world_.Configure();
    world_.Run(seconds(1));
  }

  void TearDown() override
  {
    const FleetViolations& violations = world_.Fleet().Violations();
    EXPECT_FALSE(violations.Any()) << violations.first_;
  }

  static StepSpec Second(milliseconds aDuration = seconds(8))
  {
    StepSpec step = Tasks(kTasks, aDuration);
    step.after_ = { 0 };
    step.maxPerServer_ = 1;
    return step;
  }

  void Submit(const StepSpec& aSecond)
  {
    ASSERT_EQ(world_.Submit("births", job_, { Tasks(1, seconds(1)), aSecond }).kind_,
              JobResponseKind::Accepted);
    ASSERT_TRUE(world_.RunUntil([this] { return world_.Starts() == 1; }, seconds(1)));
  }

  void SendQueueTo(const std::string& aService)
  {
    world_.Config().queues_.front().service_ = aService;
    world_.Configure();
  }

  /// Lets the second step begin on a service.
  void RunSecondStepOn(const std::string& aService)
  {
    SendQueueTo(aService);
    ASSERT_TRUE(world_.RunUntil([this] { return world_.Starts() == 1 + kTasks; }, seconds(3)));
    ASSERT_EQ(RunsOn(aService), kTasks);
  }

  size_t RunsOn(const std::string& aService)
  {
    size_t runs = 0;
    for (size_t server = 0; server < kServers; ++server) {
      runs += world_.Fleet().RunsOn(aService, server);
    }
    return runs;
  }

  void SetReachable(const std::string& aService, bool aReachable)
  {
    for (size_t server = 0; server < kServers; ++server) {
      world_.Fleet().BehaviourOf(aService, server).losesPolls_ = !aReachable;
    }
  }

  /// Ends the leader. Its successor reaches the servers of a service some time after all others.
  void ChangeLeader(LeaderEnd aEnd, const std::string& aSlowService)
  {
    const auto leader = world_.Leader();
    ASSERT_TRUE(leader.has_value());
    SetReachable(aSlowService, false);
    if (aEnd == LeaderEnd::Stopped) {
      world_.Stop(*leader);
    } else {
      world_.Restart(*leader);
    }
    ASSERT_TRUE(world_.RunUntil([this] { return world_.Leader().has_value(); }, seconds(6)));
    world_.Run(milliseconds(700));
    SetReachable(aSlowService, true);
  }

  bool IsDoneWithin(milliseconds aLimit)
  {
    return world_.RunUntil([this] { return world_.StateOf("births", job_) == JobState::Done; },
                           aLimit);
  }

  const std::string job_ = JobId(1);
  JobWorld world_;
};

class ChangedServiceAtLeaderEndTest
  : public ChangedServiceTest
  , public testing::WithParamInterface<LeaderEnd>
{};

// TWICE (review/11): a successor knew the services of a job at its acceptance and at present, and
// started tasks that ran on the service in between.
TEST_P(ChangedServiceAtLeaderEndTest, RunsOnAServiceInBetweenAreAdopted)
{
  Submit(Second());
  RunSecondStepOn("market");
  SendQueueTo("births");
  world_.Run(milliseconds(2500));
  ChangeLeader(GetParam(), "market");
  EXPECT_TRUE(IsDoneWithin(seconds(10)));
  EXPECT_EQ(world_.Starts(), 1 + kTasks);
}

// The same with leaders in series: each has to hand on what it has read.
TEST_P(ChangedServiceAtLeaderEndTest, EachLeaderInASeriesAdoptsThem)
{
  Submit(Second(seconds(20)));
  RunSecondStepOn("market");
  SendQueueTo("births");
  for (int change = 0; change < 3; ++change) {
    world_.Run(milliseconds(800));
    ChangeLeader(GetParam(), "market");
  }
  EXPECT_TRUE(IsDoneWithin(seconds(25)));
  EXPECT_EQ(world_.Starts(), 1 + kTasks);
}

// The same with two services in between, of which the first one has the runs.
TEST_P(ChangedServiceAtLeaderEndTest, AFurtherServiceDoesNotHideTheOneInBetween)
{
  Submit(Second());
  RunSecondStepOn("market");
  SendQueueTo("permits");
  world_.Run(milliseconds(800));
  SendQueueTo("births");
  world_.Run(milliseconds(800));
  ChangeLeader(GetParam(), "market");
  EXPECT_TRUE(IsDoneWithin(seconds(10)));
  EXPECT_EQ(world_.Starts(), 1 + kTasks);
}

// The same if the operator has removed the queue: it stays on the service that it was sent to last.
TEST_P(ChangedServiceAtLeaderEndTest, ARemovedQueueKeepsItsLastService)
{
  Submit(Second());
  RunSecondStepOn("market");
  world_.Config().queues_.erase(world_.Config().queues_.begin());
  world_.Configure();
  world_.Run(milliseconds(800));
  ChangeLeader(GetParam(), "market");
  EXPECT_TRUE(world_.RunUntil([this] { return RunsOn("market") == 0; }, seconds(10)));
  EXPECT_EQ(world_.Starts(), 1 + kTasks);
}

TEST_P(ChangedServiceAtLeaderEndTest, ContinuousTasksOnAServiceInBetweenAreAdopted)
{
  StepSpec second = Second();
  second.continuous_ = true;
  Submit(second);
  RunSecondStepOn("market");
  SendQueueTo("births");
  world_.Run(milliseconds(2500));
  ChangeLeader(GetParam(), "market");
  world_.Run(seconds(4));
  EXPECT_EQ(world_.Starts(), 1 + kTasks);
  EXPECT_EQ(RunsOn("market"), kTasks);
}

TEST_P(ChangedServiceAtLeaderEndTest, AGangOnAServiceInBetweenIsAdopted)
{
  StepSpec second = Second();
  second.gang_ = true;
  Submit(second);
  RunSecondStepOn("market");
  SendQueueTo("births");
  world_.Run(milliseconds(2500));
  ChangeLeader(GetParam(), "market");
  EXPECT_TRUE(IsDoneWithin(seconds(10)));
  EXPECT_EQ(world_.Starts(), 1 + kTasks);
}

// A server of the service in between that the successor never reaches runs on until its lease is
// over; its task may start elsewhere only then, and must not wait for ever.
TEST_P(ChangedServiceAtLeaderEndTest, TasksOfACutOffServerStartOnceItsLeaseIsOver)
{
  Submit(Second(seconds(20)));
  RunSecondStepOn("market");
  SendQueueTo("births");
  world_.Run(milliseconds(2500));
  const std::string cutOff = world_.Fleet().HostOf("market", 0);
  for (size_t entry = 0; entry < 2; ++entry) {
    world_.FleetOf(entry).unreachableHosts_.insert(cutOff);
  }
  ChangeLeader(GetParam(), "market");
  EXPECT_TRUE(world_.RunUntil([this] { return world_.Starts() == 2 + kTasks; }, seconds(9)));
  EXPECT_EQ(RunsOn("births"), 1U);
}

// LOST counts from 9 s: servers of the service in between that are gone for good hold the job back
// no longer than their leases.
TEST_P(ChangedServiceAtLeaderEndTest, ServersThatAreGoneForGoodDoNotHoldTheJobBack)
{
  StepSpec second = Second(seconds(20));
  second.maxPerServer_ = 0; // Idle servers of "births" may be moved to the other service.
  Submit(second);
  RunSecondStepOn("market");
  SendQueueTo("births");
  world_.Run(milliseconds(2500));
  for (size_t server = 0; server < kServers; ++server) {
    world_.Fleet().Crash("market", server);
  }
  ChangeLeader(GetParam(), "market");
  EXPECT_TRUE(world_.RunUntil([this] { return RunsOn("births") == kTasks; }, seconds(9)));
}

// LOST: a job waited at each change of leader for the servers of a service that it had left, also
// if they were gone for good.
TEST_P(ChangedServiceAtLeaderEndTest, ServersOfAServiceThatAJobHasLeftAreNotWaitedFor)
{
  StepSpec third = Second();
  third.after_ = { 1 };
  ASSERT_EQ(
    world_.Submit("births", job_, { Tasks(1, seconds(1)), Second(seconds(3)), third }).kind_,
    JobResponseKind::Accepted);
  ASSERT_TRUE(world_.RunUntil([this] { return world_.Starts() == 1; }, seconds(1)));
  RunSecondStepOn("market");
  world_.Run(milliseconds(800));
  for (size_t server = 0; server < kServers; ++server) {
    world_.Fleet().Crash("births", server);
  }
  const auto leader = world_.Leader();
  ASSERT_TRUE(leader.has_value());
  if (GetParam() == LeaderEnd::Stopped) {
    world_.Stop(*leader);
  } else {
    world_.Restart(*leader);
  }
  // The second step ends 2.2 s from here, a lease 4.5 s or more.
  EXPECT_TRUE(
    world_.RunUntil([this] { return world_.Starts() == 1 + 2 * kTasks; }, milliseconds(4000)));
}

// A service is left only once the last run there has ended.
TEST_P(ChangedServiceAtLeaderEndTest, AServiceWithOneRunLeftIsStillWaitedFor)
{
  Submit(Second());
  RunSecondStepOn("market");
  SendQueueTo("births");
  world_.Run(milliseconds(300));
  for (size_t server = 1; server < kServers; ++server) {
    world_.Fleet().Crash("market", server);
  }
  ASSERT_TRUE(world_.RunUntil([this] { return RunsOn("births") == kTasks - 1; }, seconds(9)));
  world_.Run(milliseconds(300));
  ChangeLeader(GetParam(), "market");
  EXPECT_TRUE(IsDoneWithin(seconds(20)));
  EXPECT_EQ(world_.Starts(), 2 * kTasks);
}

// LOST: most servers were gone for good when the leader ended, and host control no longer listed
// their hosts. The successor waited 29 s: for a majority of them to answer, and for their leases.
TEST_P(ChangedServiceAtLeaderEndTest, ServersWhoseHostsAreNoLongerListedAreNotWaitedFor)
{
  StepSpec second = Second(seconds(20));
  second.maxPerServer_ = 0; // Idle servers of "births" may be moved to the other service.
  Submit(second);
  RunSecondStepOn("market");
  SendQueueTo("births");
  world_.Run(milliseconds(2500));
  const auto leader = world_.Leader();
  ASSERT_TRUE(leader.has_value());
  for (const char* service : { "market", "permits" }) {
    for (size_t server = 0; server < kServers; ++server) {
      world_.Fleet().RemoveHost(service, server);
    }
  }
  if (GetParam() == LeaderEnd::Stopped) {
    world_.Stop(*leader);
  } else {
    world_.Restart(*leader);
  }
  ASSERT_TRUE(world_.RunUntil([this] { return world_.Leader().has_value(); }, seconds(6)));
  EXPECT_TRUE(world_.RunUntil([this] { return RunsOn("births") == kTasks; }, seconds(3)));
}

INSTANTIATE_TEST_SUITE_P(LeaderEnds,
                         ChangedServiceAtLeaderEndTest,
                         testing::Values(LeaderEnd::Stopped, LeaderEnd::Killed),
                         [](const testing::TestParamInfo<LeaderEnd>& aInfo) {
                           return aInfo.param == LeaderEnd::Stopped ? "Stopped" : "Killed";
                         });

// A task must not start on a new service before the store names it for the job: if the leader is
// killed, its successor would not look for the run there.
TEST_F(ChangedServiceTest, TasksStartOnANewServiceOnlyOnceItIsStored)
{
  Submit(Second());
  const auto leader = world_.Leader();
  ASSERT_TRUE(leader.has_value());
  SendQueueTo("market");
  world_.Run(milliseconds(20)); // The leader has read the configuration.
  world_.StoreOf(*leader).fault_ = MemoryRecordStore::Fault::Refusing;
  world_.Run(milliseconds(1500)); // The first step ends.
  EXPECT_EQ(world_.Starts(), 1U);
  SendQueueTo("births");
  world_.Restart(*leader);
  world_.StoreOf(*leader).fault_ = MemoryRecordStore::Fault::None;
  EXPECT_TRUE(IsDoneWithin(seconds(14)));
  EXPECT_EQ(world_.Starts(), 1 + kTasks);
}

// The same if the store is back later: the job goes on at the new service.
TEST_F(ChangedServiceTest, TasksStartOnTheNewServiceOnceTheStoreIsBack)
{
  Submit(Second());
  const auto leader = world_.Leader();
  ASSERT_TRUE(leader.has_value());
  SendQueueTo("market");
  world_.Run(milliseconds(20));
  world_.StoreOf(*leader).fault_ = MemoryRecordStore::Fault::Refusing;
  world_.Run(milliseconds(1500));
  world_.StoreOf(*leader).fault_ = MemoryRecordStore::Fault::None;
  EXPECT_TRUE(world_.RunUntil([this] { return RunsOn("market") == kTasks; }, seconds(1)));
  EXPECT_TRUE(IsDoneWithin(seconds(10)));
  EXPECT_EQ(world_.Starts(), 1 + kTasks);
}

// A configuration that arrives while a submission is being stored must not be missed either.
TEST_F(ChangedServiceTest, AServiceThatChangesDuringTheSubmissionIsStored)
{
  const auto leader = world_.Leader();
  ASSERT_TRUE(leader.has_value());
  world_.StoreOf(*leader).fault_ = MemoryRecordStore::Fault::ResponsesLost;
  world_.SendSubmit("births", job_, { Tasks(kTasks, seconds(8)) }, [](const JobResponse&) {});
  world_.Run(milliseconds(10));
  SendQueueTo("market");
  world_.Run(milliseconds(50));
  world_.StoreOf(*leader).fault_ = MemoryRecordStore::Fault::None;
  ASSERT_TRUE(world_.RunUntil([this] { return RunsOn("market") == kTasks; }, seconds(3)));
  SendQueueTo("births");
  world_.Run(milliseconds(800));
  ChangeLeader(LeaderEnd::Killed, "market");
  EXPECT_TRUE(IsDoneWithin(seconds(10)));
  EXPECT_EQ(world_.Starts(), kTasks);
}

// A job whose submission is refused leaves the table. Fault: the leader ended with a segmentation
// fault, as the job's services had been queued for the store before the job was (soak, seed 68115).
TEST_F(ChangedServiceTest, ServicesOfAJobThatIsNotStoredAreNotStored)
{
  const auto leader = world_.Leader();
  ASSERT_TRUE(leader.has_value());
  world_.StoreOf(*leader).fault_ = MemoryRecordStore::Fault::ResponsesLost;
  std::vector<JobResponseKind> responses;
  for (const std::string& id : { job_, JobId(2) }) {
    world_.SendSubmit("births", id, { Tasks(1) }, [&](const JobResponse& aResponse) {
      responses.push_back(aResponse.kind_);
    });
    world_.Run(milliseconds(10));
  }
  SendQueueTo("market");
  world_.Run(seconds(2));
  EXPECT_EQ(responses, (std::vector{ JobResponseKind::Refused, JobResponseKind::Unknown }));
  world_.StoreOf(*leader).fault_ = MemoryRecordStore::Fault::None;
  EXPECT_TRUE(IsDoneWithin(seconds(4)));
}

/// A job that was accepted while its queue was sent to "births".
class ServiceRecordTest : public testing::Test
{
protected:
  static uint32_t AddJob(JobTable& aTable)
  {
    JobSpec spec;
    spec.id_ = JobId(1);
    spec.queue_ = "q";
    spec.steps_ = { Tasks(1) };
    const uint32_t job = aTable.Add(spec, PolicyFor("births"), TimePoint{}, milliseconds(0));
    aTable.At(job).stored_ = true;
    return job;
  }

  static QueuePolicy PolicyFor(const std::string& aService)
  {
    QueuePolicy policy;
    policy.name_ = "q";
    policy.service_ = aService;
    return policy;
  }

  void SendTo(const std::string& aService) { table_.SetPolicy(job_, PolicyFor(aService)); }

  JobTable table_;
  Job& job_ = table_.At(AddJob(table_));
};

// The record of a job whose queue stays on one service must not grow.
TEST_F(ServiceRecordTest, AnUnchangedServiceIsNotRecorded)
{
  SendTo("births");
  EXPECT_TRUE(table_.TakeTouched().empty());
  EXPECT_EQ(EncodeProgress(job_).find("service"), std::string::npos);
  EXPECT_TRUE(job_.IsServiceStored());
}

// A later leader must know all services and the present one.
TEST_F(ServiceRecordTest, KeepsAllServicesAndThePresentOne)
{
  SendTo("market");
  EXPECT_EQ(table_.TakeTouched().size(), 1U);
  SendTo("permits");
  JobTable next;
  const uint32_t copy = AddJob(next);
  ASSERT_TRUE(DecodeProgress(EncodeProgress(job_), next, copy));
  EXPECT_EQ(next.At(copy).policy_.service_, "permits");
  EXPECT_EQ(next.At(copy).services_, (std::set<std::string>{ "births", "market", "permits" }));
  EXPECT_TRUE(next.At(copy).IsServiceStored());
}

// The record of the job itself keeps the service of its acceptance: it is written once, and the
// record of its progress tells the rest.
TEST_F(ServiceRecordTest, TheJobsRecordNamesTheServiceOfItsAcceptance)
{
  SendTo("market");
  JobSpec spec;
  QueuePolicy policy;
  int64_t accepted = 0;
  ASSERT_TRUE(DecodeJob(EncodeJob(job_), spec, policy, accepted));
  EXPECT_EQ(policy.service_, "births");
}

// The record that names one service less must name no service of a possible run less.
TEST_F(ServiceRecordTest, AServiceThatWasLeftIsStoredAnewBeforeTasksStartThere)
{
  SendTo("market");
  JobTable::OnServicesSent(job_);
  table_.OnServicesStored(job_, job_.services_);
  table_.TakeTouched();
  table_.KeepServices(job_, { "market" });
  EXPECT_EQ(table_.TakeTouched().size(), 1U);
  SendTo("births");
  JobTable::OnServicesSent(job_);
  EXPECT_TRUE(job_.IsServiceStored()) << "the record from before and the new one name it";
  table_.OnServicesStored(job_, job_.services_);
  table_.KeepServices(job_, { "market" });
  JobTable::OnServicesSent(job_);
  SendTo("births");
  EXPECT_FALSE(job_.IsServiceStored());
}

// Of two records that a successor may read, only the services that both name count as stored.
TEST_F(ServiceRecordTest, AServiceCountsAsStoredOnceNoOlderRecordCanBeRead)
{
  SendTo("market");
  JobTable::OnServicesSent(job_);
  EXPECT_FALSE(job_.IsServiceStored());
  const std::set<std::string> written = job_.services_;
  SendTo("permits");
  table_.TakeTouched();
  table_.OnServicesStored(job_, written);
  EXPECT_FALSE(job_.IsServiceStored());
  EXPECT_EQ(table_.TakeTouched().size(), 1U) << "the record lacks the newest service";
  SendTo("market");
  EXPECT_TRUE(job_.IsServiceStored());
}

// A successor may adopt a run on a service that no record names, as one of an earlier release.
TEST_F(ServiceRecordTest, AnAdoptedRunsServiceIsStored)
{
  table_.AddService(job_, "market");
  EXPECT_EQ(table_.TakeTouched().size(), 1U);
  EXPECT_EQ(job_.services_, (std::set<std::string>{ "births", "market" }));
  table_.AddService(job_, "market");
  EXPECT_TRUE(table_.TakeTouched().empty());
}

// A damaged list must be reported; a cancellation in the same record stands.
TEST_F(ServiceRecordTest, ADamagedListIsRefused)
{
  EXPECT_FALSE(DecodeProgress(R"({"id":"1","started":true,"cancelled":true,"failed":false,)"
                              R"("done":[],"failed_runs":[],"checkpoints":[],)"
                              R"("service":"market","services":[7]})",
                              table_,
                              job_.index_));
  EXPECT_TRUE(job_.cancelled_);
}

}
}
