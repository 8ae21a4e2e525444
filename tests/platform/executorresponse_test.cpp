#include "platform/executorclient.h"
#include "platform/jobapicodec.h"

#include <gtest/gtest.h>

#include <string>

namespace apricotwing::platform {
namespace {

const jobs::WorkerIncarnation Worker{"i-1", 1000};

HttpResult responseOf(int Status, const std::string &Body) {
  HttpResult Result;
  Result.State = TransferState::Complete;
  Result.Status = Status;
  Result.Body = Body;
  return Result;
}

TEST(ExecutorResponseTest, ReadsAHeartbeat) {
  const auto Result = parseHeartbeatResult(
      responseOf(200, R"({"clock_ms":5,"born":1000,)"
                      R"("running":[["t",2,"c",41,0]],)"
                      R"("finished":[[7,"u",1,"done",""]]})"),
      Worker);
  EXPECT_EQ(Result.Outcome, cell::WorkerOutcome::Done);
  ASSERT_EQ(Result.Running.size(), 1U);
  EXPECT_EQ(Result.Running[0].Percent, 41);
  ASSERT_EQ(Result.Ended.size(), 1U);
  EXPECT_EQ(Result.Ended[0].Kind, jobs::EndKind::Done);
}

// Guards against taking a list for complete that has as many ended runs as an
// executor returns at a time.
TEST(ExecutorResponseTest, AFullListMayLeaveEndedRunsOut) {
  const auto HasMore = [](int Count) {
    std::string Rows;
    for (int Number = 1; Number <= Count; ++Number)
      Rows += (Number > 1 ? ",[" : "[") + std::to_string(Number) +
              R"(,"u",1,"done",""])";
    return parseHeartbeatResult(
               responseOf(200, R"({"clock_ms":5,"running":[],"finished":[)" +
                                   Rows + "]}"),
               Worker)
        .MayHaveMoreEnded;
  };
  EXPECT_FALSE(HasMore(499));
  EXPECT_TRUE(HasMore(500));
}

// Guards against taking the answer of another executor at the same address, or
// one that names an earlier start, for a restart of the one that was called.
TEST(ExecutorResponseTest, OnlyALaterStartUnderTheSameIdShowsARestart) {
  const auto OutcomeOf = [](int Status, const std::string &Start) {
    return parseHeartbeatResult(
               responseOf(Status, R"({"clock_ms":5)" + Start +
                                      R"(,"running":[],"finished":[]})"),
               Worker)
        .Outcome;
  };
  EXPECT_EQ(OutcomeOf(200, R"(,"born":1001)"), cell::WorkerOutcome::Restarted);
  EXPECT_EQ(OutcomeOf(200, R"(,"born":1000)"), cell::WorkerOutcome::Done);
  EXPECT_EQ(OutcomeOf(200, ""), cell::WorkerOutcome::Done);
  EXPECT_EQ(OutcomeOf(200, R"(,"born":999)"), cell::WorkerOutcome::OtherWorker);
  for (const std::string Start :
       {"", R"(,"born":999)", R"(,"born":1000)", R"(,"born":1001)"})
    EXPECT_EQ(OutcomeOf(421, Start), cell::WorkerOutcome::OtherWorker);
}

// Guards against a lease that ends by the clock of another process.
TEST(ExecutorResponseTest, IgnoresTheClockOfAnotherProcess) {
  const auto ClockOf = [](const std::string &Start) {
    return parseWorkerAnswer(responseOf(200, R"({"clock_ms":5)" + Start + "}"),
                             Worker)
        .ClockMs;
  };
  EXPECT_EQ(ClockOf(""), 5);
  EXPECT_EQ(ClockOf(R"(,"born":1000)"), 5);
  EXPECT_EQ(ClockOf(R"(,"born":999)"), std::nullopt);
  EXPECT_EQ(ClockOf(R"(,"born":1001)"), std::nullopt);
}

// Guards against a response with fields of another type that ends the process:
// the exception was not caught on the thread of the HTTP client.
TEST(ExecutorResponseTest, SurvivesMalformedResponses) {
  for (const int Status : {200, 400, 409, 421, 429, 500})
    for (const std::string Body :
         {"",
          "{",
          "[]",
          "null",
          "7",
          "{}",
          R"({"clock_ms":"x"})",
          R"({"clock_ms":{}})",
          R"({"clock_ms":1e300})",
          R"({"reason":7})",
          R"({"reason":null})",
          R"({"born":"x"})",
          R"({"born":1e300})",
          R"({"clock_ms":5,"running":7,"finished":[]})",
          R"({"clock_ms":5,"running":[7],"finished":[]})",
          R"({"clock_ms":5,"running":[["t",2,"c","x"]],"finished":[]})",
          R"({"clock_ms":5,"running":[["t",2,"c",1e300]],"finished":[]})",
          R"({"clock_ms":5,"running":[],"finished":[[1]]})",
          R"({"clock_ms":5,"running":[],"finished":[[1,2,3,4,5]]})",
          "\xff\xfe{}"}) {
      EXPECT_NO_THROW(parseHeartbeatResult(responseOf(Status, Body), Worker))
          << Status << " " << Body;
      EXPECT_NO_THROW(parseWorkerAnswer(responseOf(Status, Body), Worker))
          << Status << " " << Body;
    }
}

// Guards against durations that no integer can represent.
TEST(ExecutorResponseTest, RejectsDurationsOutOfRange) {
  for (const std::string Value : {"1e300", "-1e300", "-5", "1e18"}) {
    const auto Job =
        parseJob(R"({"spec":"x","steps":[{"count":1,"estimated_duration_ms":)" +
                 Value + "}]}");
    ASSERT_TRUE(Job) << Value;
    EXPECT_TRUE(jobs::validationError(*Job)) << Value;
  }
}

} // namespace
} // namespace apricotwing::platform
