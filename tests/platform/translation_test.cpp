#include "platform/base64.h"
#include "platform/jobapicodec.h"
#include "platform/jsonplatformrecords.h"

#include <gtest/gtest.h>

#include <cstddef>
#include <string>
#include <utility>
#include <vector>

namespace apricotwing::platform {
namespace {

TEST(Base64Test, ReturnsWhatWasEncoded) {
  for (const std::string Text : {"", "a", "ab", "abc", "node-1"})
    EXPECT_EQ(fromBase64(toBase64(Text)), Text);
  EXPECT_EQ(toBase64("node-1"), "bm9kZS0x");
  EXPECT_FALSE(fromBase64("???"));
}

// Guards against submissions whose parsed form takes many times their bytes.
TEST(JobApiCodecTest, RejectsSubmissionsWithTooManyValues) {
  const auto Repeated = [](const std::string &Item, int Count) {
    std::string Result = Item;
    for (int Index = 1; Index < Count; ++Index)
      Result += "," + Item;
    return Result;
  };
  const auto Steps = [&](int Count) {
    return R"({"spec":"s","steps":[)" + Repeated(R"({"count":1})", Count) +
           "]}";
  };
  EXPECT_TRUE(parseJob(Steps(int(jobs::MaxStepsPerJob))));
  EXPECT_FALSE(parseJob(Steps(int(jobs::MaxStepsPerJob) + 1)));
  const auto After = [&](int Count) {
    return R"({"spec":"s","steps":[{"count":1,"after":[)" +
           Repeated("0", Count) + "]}]}";
  };
  EXPECT_TRUE(parseJob(After(19'000)));
  EXPECT_FALSE(parseJob(After(100'000)));
  EXPECT_FALSE(parseJob(std::string(100'000, '[')));
}

TEST(JobApiCodecTest, DecodesASubmission) {
  HttpRequest Request;
  Request.Method = "POST";
  Request.Path = "/lohu930/5c0e7a21d94b36f8";
  Request.Headers = {{"host", "nony24.example:80"},
                     {"authorization", "Bearer k1"},
                     {"x-apricotwing-deadline-ms", "2500"}};
  Request.Body =
      R"({"spec":"text","steps":[{"count":4,"cpu":500,"mem_mb":256,)"
      R"("estimated_duration_ms":900,"affinity":"r1-3"},{"count":20,)"
      R"("cpu":2000,"mem_mb":1024,"estimated_duration_ms":7000,"after":[0],)"
      R"("checkpointing":true,"gang_scheduled":true,"anti_affinity":2}]})";
  const auto Call = JobApiCodec().decodeCall(Request);
  ASSERT_TRUE(Call && Call->Job);
  EXPECT_EQ(Call->Verb, cell::ClientVerb::Submit);
  EXPECT_EQ(Call->Host, "nony24.example");
  EXPECT_EQ(Call->Key, "k1");
  EXPECT_EQ(Call->Deadline, Duration{2500});
  ASSERT_EQ(Call->Job->Steps.size(), 2U);
  const jobs::StepSpec &Second = Call->Job->Steps[1];
  EXPECT_EQ(Call->Job->Steps[0].PreferredRack, "r1-3");
  EXPECT_EQ(Second.Count, 20);
  EXPECT_EQ(Second.After, std::vector<int>{0});
  EXPECT_TRUE(Second.Gang && Second.Checkpointing);
  EXPECT_EQ(Second.MaxPerWorker, 2);
}

// Guards against accepting a job with timed repetitions, which this version
// cannot run.
TEST(JobApiCodecTest, RejectsTimedRepetitions) {
  EXPECT_FALSE(parseJob(
      R"({"spec":"x","steps":[{"count":1,"cpu":1}],"repetitions":3})"));
  EXPECT_FALSE(parseJob("{"));
}

TEST(JobApiCodecTest, EncodesTheStateAndRetryAfter) {
  cell::ClientAnswer Answer{cell::ClientStatus::State};
  Answer.View = jobs::JobView::InProgress;
  EXPECT_EQ(JobApiCodec().encodeAnswer(Answer).Body,
            R"({"state":"in_progress"})");
  Answer.Status = cell::ClientStatus::Busy;
  Answer.RetryAfter = Duration{1200};
  const HttpResponse Refused = JobApiCodec().encodeAnswer(Answer);
  EXPECT_EQ(Refused.Status, 429);
  EXPECT_EQ(Refused.Headers.at("Retry-After"), "2");
  EXPECT_EQ(JobApiCodec().encodeAnswer({cell::ClientStatus::NoSuchJob}).Status,
            410);
}

cell::StoredRow makeRow(const std::string &Key, const std::string &Value) {
  return {"", Key, Value, 1, false};
}

TEST(JsonPlatformRecordsTest, ParsesThePolicy) {
  const auto Policy = JsonPlatformRecords().decodePolicy(makeRow(
      "config",
      R"({"version":7,"routes":[{"name":"r","host":"h","path_prefix":"/p/",)"
      R"("service":"s","max_attempts":4,"slack_factor":2.2,"priority":1,)"
      R"("target_latency_ms":1000,"recommendation":{"decision_timeout_ms":480.0,)"
      R"("per_worker_ms":6.9,"validity_ms":2000}}],"services":[{"name":"s"}],)"
      R"("tenants":[{"name":"t","api_keys":["k"],"weight":37,)"
      R"("cap":{"cpu":5,"mem_mb":6,"gpu":0}}]})"));
  ASSERT_TRUE(Policy);
  EXPECT_EQ(Policy->Version, 7);
  const jobs::Queue *Queue = Policy->match("h", "/p/1");
  ASSERT_TRUE(Queue && Queue->Advice);
  EXPECT_EQ(Queue->Advice->Validity, Duration{2000});
  EXPECT_EQ(Queue->MaxAttempts, 4);
  EXPECT_EQ(Policy->accountOfKey("k")->Cap.MemoryMib, 6);
  EXPECT_FALSE(JsonPlatformRecords().decodePolicy(makeRow("other", "{}")));
}

// Guards against an evacuation of a zone without a name, and against a row that
// is not recognized once it is removed.
TEST(JsonPlatformRecordsTest, ParsesEvacuations) {
  const auto ZoneOf = [](const std::string &Key, const std::string &Value) {
    return JsonPlatformRecords().decodeEvacuation(makeRow(Key, Value));
  };
  EXPECT_EQ(ZoneOf("evacuate/a", "{}"), "a");
  EXPECT_EQ(ZoneOf("evacuate/a", ""), "a");
  EXPECT_FALSE(ZoneOf("evacuate/", "{}"));
  EXPECT_FALSE(ZoneOf("config", "{}"));
}

// Guards against using a row as a worker that another writer stored or whose
// state is unknown.
TEST(JsonPlatformRecordsTest, ParsesOnlyRowsOfWorkers) {
  const std::string Valid =
      R"({"service":"s","address":"10.1.0.9:80","zone":"a","state":"draining",)"
      R"("capacity":{"cpu":16000,"mem_mb":32768,"gpu":0},"labels":["a"],)"
      R"("born":5,"remaining_ms":700,"cold_remaining_ms":900})";
  const auto Worker = JsonPlatformRecords().decodeWorker(makeRow("i-1", Valid));
  ASSERT_TRUE(Worker);
  EXPECT_EQ(Worker->Incarnation, (jobs::WorkerIncarnation{"i-1", 5}));
  EXPECT_TRUE(Worker->Draining);
  EXPECT_EQ(Worker->Remaining, Duration{700});
  EXPECT_EQ(Worker->ColdRemaining, Duration{900});
  std::string UnknownState = Valid;
  UnknownState.replace(UnknownState.find("draining"), 8, "sleeping");
  EXPECT_FALSE(
      JsonPlatformRecords().decodeWorker(makeRow("i-1", UnknownState)));
  EXPECT_FALSE(
      JsonPlatformRecords().decodeWorker(makeRow("i-1", R"({"service":3})")));
  EXPECT_FALSE(JsonPlatformRecords().decodeWorker(makeRow("i-1", "\xff\x01")));
}

/// Returns the row of a worker with the field \p Name set to \p Value, or
/// without it if \p Value is empty.
std::string workerRow(const std::string &Name, const std::string &Value) {
  std::string Row;
  for (const auto &[Field, Usual] :
       std::vector<std::pair<std::string, std::string>>{
           {"service", R"("s")"},
           {"address", R"("10.1.0.9:80")"},
           {"zone", R"("a")"},
           {"state", R"("ready")"},
           {"capacity", R"({"cpu":16000,"mem_mb":32768,"gpu":0})"},
           {"labels", R"(["a"])"},
           {"born", "5"},
           {"remaining_ms", "0"}}) {
    const std::string &Text = Field == Name ? Value : Usual;
    if (!Text.empty())
      Row.append(Row.empty() ? "{\"" : ",\"")
          .append(Field)
          .append("\":")
          .append(Text);
  }
  return Row + "}";
}

// Guards against a row of another writer that replaces a worker, because its
// numbers wrap around when they are converted.
TEST(JsonPlatformRecordsTest, RejectsWorkersWithValuesOutOfRange) {
  const auto Accepts = [](const std::string &Name, const std::string &Value) {
    return JsonPlatformRecords()
        .decodeWorker(makeRow("i-1", workerRow(Name, Value)))
        .has_value();
  };
  EXPECT_TRUE(Accepts("", ""));
  EXPECT_TRUE(Accepts("remaining_ms", "700.5"));
  for (const std::string Value :
       {"", "0", "-1", "9223372036854775807", "18446744073709551615", "1e300",
        "null", R"("5")", "[]"})
    EXPECT_FALSE(Accepts("born", Value)) << Value;
  for (const std::string Value :
       {"", "7", R"("10.1.0.9")", R"("10.1.0.9:0")", R"("10.1.0.9:65536")",
        R"("10.1.0.9:-1")", R"("10.1.0.9:80/x")", R"("10.1.0.999:80")",
        R"("host:80")", R"("10.1.0.9:99999999999999999999")", R"(":80")"})
    EXPECT_FALSE(Accepts("address", Value)) << Value;
  for (const std::string Value :
       {"", "7", "[]", R"({"cpu":-1})", R"({"cpu":9223372036854775807})",
        R"({"cpu":18446744073709551615})", R"({"mem_mb":1e300})",
        R"({"gpu":"1"})"})
    EXPECT_FALSE(Accepts("capacity", Value)) << Value;
  for (const std::string Value : {"-1", "1e300", "1e18", "{}"})
    EXPECT_FALSE(Accepts("remaining_ms", Value)) << Value;
  for (const std::string Id : {"", "i 1", "i-1\r\nX: y", "i-\xc3\xa9"})
    EXPECT_FALSE(
        JsonPlatformRecords().decodeWorker(makeRow(Id, workerRow("", ""))))
        << Id;
}

// Guards against a stack overflow while a row is parsed or released.
TEST(JsonPlatformRecordsTest, SurvivesDeeplyNestedRows) {
  constexpr std::size_t Depth = 1'000'000;
  const std::string Nested = std::string(Depth, '[') + std::string(Depth, ']');
  for (const std::string &Value :
       {Nested, std::string(Depth, '['), workerRow("labels", Nested),
        workerRow("capacity", Nested), workerRow("born", Nested)})
    EXPECT_FALSE(JsonPlatformRecords().decodeWorker(makeRow("i-1", Value)));
}

} // namespace
} // namespace apricotwing::platform
