#include "backend_client.h"
#include "caller_codec.h"
#include "fleet_format.h"
#include "json_fields.h"
#include "raw_server.h"
#include "sardinespoke/http_multi.h"
#include "store_client.h"

#include <gtest/gtest.h>

namespace sardinespoke::platform {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

// Deep enough to overflow the stack of a reader that recurses once a level.
constexpr size_t kDeep = 200000;

// Numbers that no count, size or time can have.
const std::vector<std::string> kOddNumbers{ "18446744073709551615", "9223372036854775808",
                                            "99999999999999999999", "1e300",
                                            "9223372036854775807",  "-5",
                                            "-9223372036854775808" };

std::string
Nested(size_t aDepth)
{
  return std::string(aDepth, '[') + std::string(aDepth, ']');
}

json
Entry()
{
  return json{ { "service", "births" },
               { "address", "10.0.0.9:80" },
               { "zone", "a" },
               { "state", "ready" },
               { "machine", "m-1" },
               { "capacity", { { "cpu", 16000 }, { "mem-mb", 32768 }, { "gpu", 2 } } },
               { "labels", { "a", "r1-2" } },
               { "born", 1764900000000 },
               { "seq", 4 } };
}

/// @returns The text of an object with another value, which need not be valid, for one field.
std::string
With(json aObject, const std::string& aPointer, const std::string& aValue)
{
  constexpr char kMark[] = "<value>";
  aObject[json::json_pointer(aPointer)] = kMark;
  std::string text = aObject.dump();
  const std::string quoted = std::string("\"") + kMark + "\"";
  return text.replace(text.find(quoted), quoted.size(), aValue);
}

bool
ReadsEntry(const std::string& aValue, const std::string& aKey = "servers/i-1")
{
  Record record;
  record.key_ = aKey;
  record.value_ = aValue;
  BackendEntry entry;
  return FleetFormat().ReadBackend(record, entry);
}

bool
ReadsConfig(const std::string& aValue)
{
  Record record;
  record.key_ = "op/config";
  record.value_ = aValue;
  FleetConfig config;
  return FleetFormat().ReadConfig(record, config);
}

bool
ReadsRollout(const std::string& aValue)
{
  Record record;
  record.key_ = "op/wave/3";
  record.value_ = aValue;
  RolloutRequest request;
  return FleetFormat().ReadRollout(record, request);
}

JobRequest
Post(const std::string& aBody)
{
  CallerCall call;
  call.method_ = "POST";
  call.body_ = aBody;
  return CallerCodec().Decode(call);
}

json
Job()
{
  return json{ { "spec", "text" },
               { "steps", { { { "count", 4 }, { "cpu", 500 }, { "estimate-ms", 900 } } } } };
}

// A value that nobody reads ended the process: copying a deep value overflows the stack.
TEST(OddEntry, DeepNestingInAnUnreadFieldEndsNoProcess)
{
  EXPECT_FALSE(ReadsEntry(With(Entry(), "/more", Nested(kDeep))));
}

// Fields that this version does not know must not make an entry unusable.
TEST(OddEntry, UnknownFieldsAreIgnored)
{
  EXPECT_TRUE(ReadsEntry(With(Entry(), "/more", "{\"a\":[[1,-1,1e300,null]]}")));
  EXPECT_TRUE(ReadsEntry(With(Entry(), "/seq", "18446744073709551615")));
}

// Numbers that do not fit were wrapped to -1, cut to the largest integer, or taken as negative.
TEST(OddEntry, NumbersOutOfRangeNameNoBackendServer)
{
  for (const char* field : { "/capacity/cpu", "/capacity/mem-mb", "/capacity/gpu", "/born" }) {
    for (const std::string& number : kOddNumbers) {
      EXPECT_FALSE(ReadsEntry(With(Entry(), field, number))) << field << " " << number;
    }
  }
}

// Commands must not be sent to an address that cannot be one.
TEST(OddEntry, AddressesOutOfRangeNameNoBackendServer)
{
  for (const char* address : { "1.2.3.4:99999",
                               "1.2.3.4:65536",
                               "1.2.3.4:0",
                               "1.2.3.4:-1",
                               "1.2.3.4:",
                               "1.2.3.4:80x",
                               "1.2.3.4",
                               "1.2.3.400:80",
                               "nonsense",
                               ":80" }) {
    EXPECT_FALSE(ReadsEntry(With(Entry(), "/address", json(address).dump()))) << address;
  }
  EXPECT_TRUE(ReadsEntry(With(Entry(), "/address", "\"1.2.3.4:65535\"")));
}

// An id is sent in a header of each command.
TEST(OddEntry, IdsThatAreNoneNameNoBackendServer)
{
  EXPECT_TRUE(ReadsEntry(Entry().dump(), "servers/i-7f3a91c2"));
  EXPECT_FALSE(ReadsEntry(Entry().dump(), "servers/"));
  EXPECT_FALSE(ReadsEntry(Entry().dump(), "serv"));
  EXPECT_FALSE(ReadsEntry(Entry().dump(), "servers/i-1\r\nFence: 9"));
}

// An operator's record must not end the leader or be read as another number.
TEST(OddRecord, ConfigurationsWithOddValuesAreNotApplied)
{
  const json route{ { "name", "r-1" },
                    { "host", "h" },
                    { "prefix", "/p/" },
                    { "service", "s" },
                    { "priority", 1 },
                    { "max-attempts", 3 },
                    { "stretch", 1.6 },
                    { "timeout-ms", 9 },
                    { "target-latency-ms", 600 },
                    { "advice", { { "decide-ms", 50 }, { "period-ms", 4 } } } };
  const json config{ { "version", 7 },
                     { "routes", { route } },
                     { "services", json::array() },
                     { "limits", { { "max-body-bytes", 9 } } } };
  EXPECT_TRUE(ReadsConfig(config.dump()));
  EXPECT_FALSE(ReadsConfig(With(config, "/more", Nested(kDeep))));
  for (const char* field : { "/routes/0/priority",
                             "/routes/0/max-attempts",
                             "/routes/0/timeout-ms",
                             "/routes/0/target-latency-ms",
                             "/routes/0/advice/decide-ms",
                             "/routes/0/advice/period-ms",
                             "/limits/max-body-bytes" }) {
    for (const std::string& number : kOddNumbers) {
      EXPECT_FALSE(ReadsConfig(With(config, field, number))) << field << " " << number;
    }
  }
  EXPECT_FALSE(ReadsConfig(With(config, "/routes/0/stretch", "1e300")));
  EXPECT_FALSE(ReadsConfig(With(config, "/routes/0/stretch", "-1")));
  EXPECT_FALSE(ReadsConfig(With(config, "/version", "18446744073709551615")));
}

TEST(OddRecord, RolloutsWithOddValuesAreNotStarted)
{
  const json rollout{
    { "wave", 3 }, { "machines", { "m-1" } }, { "duration-s", 20.5 }, { "cap", 2 }
  };
  EXPECT_TRUE(ReadsRollout(rollout.dump()));
  EXPECT_FALSE(ReadsRollout(With(rollout, "/more", Nested(kDeep))));
  for (const std::string& number : kOddNumbers) {
    EXPECT_FALSE(ReadsRollout(With(rollout, "/cap", number))) << number;
    EXPECT_FALSE(ReadsRollout(With(rollout, "/duration-s", number))) << number;
  }
  EXPECT_FALSE(ReadsRollout(With(rollout, "/wave", "-3")));
  EXPECT_FALSE(ReadsRollout(With(rollout, "/wave", "18446744073709551615")));
}

// One request ended the leader and, when the caller tried again, its successor.
TEST(OddBody, DeepNestingEndsNoProcess)
{
  EXPECT_EQ(Post(Job().dump()).problem_, "");
  EXPECT_NE(Post(With(Job(), "/more", Nested(kDeep))).problem_, "");
}

TEST(OddBody, NumbersOutOfRangeAreRefused)
{
  for (const char* field : { "/steps/0/count",
                             "/steps/0/cpu",
                             "/steps/0/mem-mb",
                             "/steps/0/gpu",
                             "/steps/0/estimate-ms",
                             "/steps/0/max-per-server",
                             "/steps/0/target-ms",
                             "/steps/0/may-miss",
                             "/first-ms",
                             "/interval-ms",
                             "/repeats" }) {
    for (const std::string& number : kOddNumbers) {
      EXPECT_NE(Post(With(Job(), field, number)).problem_, "") << field << " " << number;
    }
  }
  for (const char* number : { "4294967296", "-1", "0.5e10", "18446744073709551615" }) {
    json job = Job();
    job["steps"].push_back({ { "count", 1 }, { "after", { 0 } } });
    EXPECT_NE(Post(With(job, "/steps/1/after/0", number)).problem_, "") << number;
  }
}

// The due time of the last occurrence must not overflow.
TEST(OddBody, OccurrencesBeyondAllTimeAreRefused)
{
  json job = Job();
  job["repeats"] = 100000;
  job["interval-ms"] = 3000000000000;
  EXPECT_NE(Post(job.dump()).problem_, "");
}

// A method is part of the answer's message, which ended the process if it was not UTF-8.
TEST(OddBody, MethodsThatAreNotTextAreAnswered)
{
  CallerCall call;
  call.method_ = "\xff\xfe";
  JobResponse answer;
  answer.kind_ = JobResponseKind::Invalid;
  answer.message_ = CallerCodec().Decode(call).problem_;
  EXPECT_EQ(CallerCodec().Encode(answer).status_, 400U);
}

class OddAnswer : public testing::Test
{
protected:
  /// Makes a call to a server that responds to each request with this body.
  /// @param aCall Gets the server's address and a function to pass the result to.
  template<typename Result, typename Call>
  Result Ask(const std::string& aBody, const Call& aCall)
  {
    RawServer server([&aBody](const std::string&, size_t) {
      RawReply reply;
      reply.bytes_ = RawResponse(aBody);
      return reply;
    });
    Result result;
    bool done = false;
    aCall(server.Address(), [&](const Result& aResult) {
      result = aResult;
      done = true;
    });
    for (int turn = 0; turn < 300 && !done; ++turn) {
      http_.Run(milliseconds(10));
    }
    EXPECT_TRUE(done);
    return result;
  }

  CommandOutcome Poll(const std::string& aBody)
  {
    return Ask<PollResult>(aBody,
                           [this](const std::string& aAddress, const auto& aDone) {
                             PollCommand command;
                             command.to_ = BackendAddress{ "i-1", aAddress };
                             BackendClient(http_, aAddress, aAddress, "e-1").Poll(command, aDone);
                           })
      .outcome_;
  }

  bool ListsHosts(const std::string& aBody)
  {
    std::unique_ptr<BackendClient> client;
    return Ask<HostListResult>(aBody,
                               [&](const std::string& aAddress, const auto& aDone) {
                                 client = std::make_unique<BackendClient>(
                                   http_, aAddress, aAddress, "e-1");
                                 client->ListHosts(aDone);
                               })
      .ok_;
  }

  bool GivesAdvice(const std::string& aBody)
  {
    return Ask<AdviceResult>(aBody,
                             [this](const std::string& aAddress, const auto& aDone) {
                               AdviceQuery query;
                               query.timeout_ = milliseconds(1000);
                               BackendClient(http_, aAddress, aAddress, "e-1").Advise(query, aDone);
                             })
      .ok_;
  }

  RecordOutcome Range(const std::string& aBody)
  {
    return Ask<RecordReply>(aBody,
                            [this](const std::string& aAddress, const auto& aDone) {
                              StoreClient(http_, aAddress).Range("servers/", "", aDone);
                            })
      .outcome_;
  }

  HttpMulti http_;
};

// A backend server with an odd answer must count as one without an answer.
TEST_F(OddAnswer, OfABackendServerCountsAsNone)
{
  const json lists{ { "clock-ms", 482113 },
                    { "born", 1764900000000 },
                    { "running", { { "5c0e7a21d94b36f8.0.1.17", 2, "00bb", 41, 7.5 } } },
                    { "ended", { { 58, "5c0e7a21d94b36f8.0.1.9", 1, "done", "" } } } };
  EXPECT_EQ(Poll(lists.dump()), CommandOutcome::Done);
  EXPECT_EQ(Poll(With(lists, "/more", Nested(kDeep))), CommandOutcome::Unknown);
  for (const char* field :
       { "/clock-ms", "/born", "/running/0/3", "/running/0/4", "/running/0/1" }) {
    for (const char* number : { "18446744073709551615", "99999999999999999999", "1e300", "-5" }) {
      EXPECT_EQ(Poll(With(lists, field, number)), CommandOutcome::Unknown)
        << field << " " << number;
    }
  }
  for (const char* number : { "18446744073709551615", "1e300", "-5", "0", "\"1\"" }) {
    EXPECT_EQ(Poll(With(lists, "/ended/0/0", number)), CommandOutcome::Unknown) << number;
    EXPECT_EQ(Poll(With(lists, "/ended/0/2", number)), CommandOutcome::Unknown) << number;
  }
  EXPECT_EQ(Poll(With(lists, "/running/0", "[]")), CommandOutcome::Unknown);
  EXPECT_EQ(Poll(With(lists, "/ended/0", "7")), CommandOutcome::Unknown);
}

TEST_F(OddAnswer, OfHostControlIsNoList)
{
  const json list{ { "machines",
                     { { { "machine", "m-1" },
                         { "state", "up" },
                         { "labels", { "a", "r1-2" } },
                         { "capacity", { { "cpu", 16000 }, { "mem-mb", 32768 } } } } } } };
  EXPECT_TRUE(ListsHosts(list.dump()));
  EXPECT_FALSE(ListsHosts(With(list, "/more", Nested(kDeep))));
  for (const std::string& number : kOddNumbers) {
    EXPECT_FALSE(ListsHosts(With(list, "/machines/0/capacity/cpu", number))) << number;
  }
  EXPECT_FALSE(ListsHosts(With(list, "/machines/0", "[]")));
}

TEST_F(OddAnswer, OfTheAdviceServiceIsNoAdvice)
{
  const json advice{ { "allowed", json::array({ json::array({ "i-1", "ticket" }) }) },
                     { "valid-ms", 3000 } };
  EXPECT_TRUE(GivesAdvice(advice.dump()));
  EXPECT_FALSE(GivesAdvice(With(advice, "/more", Nested(kDeep))));
  for (const std::string& number : kOddNumbers) {
    EXPECT_FALSE(GivesAdvice(With(advice, "/valid-ms", number))) << number;
  }
  EXPECT_FALSE(GivesAdvice(With(advice, "/allowed/0", "\"i-1\"")));
  EXPECT_FALSE(GivesAdvice("[]"));
}

TEST_F(OddAnswer, OfTheStoreHasAnUnknownOutcome)
{
  const json range{
    { "current-rev", 90 },
    { "items",
      { { { "key", "servers/i-1" }, { "value", "e30=" }, { "rev", 80 }, { "lease", 0 } } } }
  };
  EXPECT_EQ(Range(range.dump()), RecordOutcome::Ok);
  EXPECT_EQ(Range(With(range, "/more", Nested(kDeep))), RecordOutcome::Unknown);
  for (const char* field : { "/current-rev", "/items/0/rev" }) {
    for (const char* number : { "18446744073709551615", "1e300", "-5" }) {
      EXPECT_EQ(Range(With(range, field, number)), RecordOutcome::Unknown) << field << number;
    }
  }
  EXPECT_EQ(Range(With(range, "/items/0", "7")), RecordOutcome::Unknown);
  EXPECT_EQ(Range("[]"), RecordOutcome::Unknown);
}

// Leases are ids: each unsigned number that the store hands out must come back unchanged.
TEST_F(OddAnswer, LeasesKeepTheirNumber)
{
  const json granted{ { "lease", 18446744073709551615U }, { "ttl-ms", 3000 } };
  const auto reply =
    Ask<RecordReply>(granted.dump(), [this](const std::string& aAddress, const auto& aDone) {
      StoreClient(http_, aAddress).Grant(milliseconds(3000), aDone);
    });
  EXPECT_EQ(reply.lease_, 18446744073709551615U);
}

// A value of the store that is not base64 must be read as nothing.
TEST(OddRecord, BytesThatAreNoBase64AreNothing)
{
  for (const char* text : { "=", "====", "a", "ab=c", "\xff\xff\xff\xff", "{\"a\":1}" }) {
    EXPECT_LE(DecodeBase64(text).size(), 6U) << text;
  }
}

}
}
