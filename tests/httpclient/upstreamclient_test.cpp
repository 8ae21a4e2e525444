#include "httpclient/httpupstreamclient.h"
#include "httpclient/rawserver.h"
#include "standins/cell.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <future>

namespace apricotwing {
namespace {

/// Timeout for calls that are expected to complete.
constexpr Duration LongTimeout{20000};

/// Timeout for calls that are expected to time out.
constexpr Duration ShortTimeout{150};

UpstreamRequest request(const std::string &Address, const std::string &Id,
                        bool Idempotent, Duration Timeout = LongTimeout) {
  return {Address, Id, "body of " + Id, "text/plain", Idempotent, Timeout, {}};
}

/// Responds to the first request of each connection. Reads and executes the
/// second request, then closes the connection without a response.
void closeOnSecondRequest(RawServer &Server, RawConnection &Connection) {
  if (const auto Id = Server.execute(Connection))
    Connection.write(validResponse(*Id, "answer"));
  (void)Server.execute(Connection);
}

// Guards against a request that is executed twice: libcurl resends a request
// when a reused connection closes without a response.
TEST(UpstreamClientTest, OneCallRunsAtMostOnceOnReusedConnections) {
  RawServer Server(closeOnSecondRequest);
  HttpClient Client;
  HttpUpstreamClient Upstream(Client);
  int InDoubt = 0;
  for (int Call = 0; Call < 40; ++Call) {
    const std::string Id = "r" + std::to_string(Call);
    const bool Idempotent = Call % 4 < 2;
    const UpstreamAnswer Answer =
        Upstream.send(request(Server.address(), Id, Idempotent));
    EXPECT_EQ(Server.executions(Id), 1) << Id;
    if (!Idempotent) {
      EXPECT_EQ(Answer.Result, SendResult::Answered) << Answer.Detail;
    }
    InDoubt += Answer.Result == SendResult::InDoubt ? 1 : 0;
  }
  EXPECT_GT(InDoubt, 0) << "no call met the closing connection";
}

// Verifies that the test above can detect a second execution: without the
// protection, the same server executes a request twice.
TEST(UpstreamClientTest, WithoutProtectionARequestRunsTwice) {
  RawServer Server(closeOnSecondRequest);
  HttpClient Client;
  int Repeated = 0;
  for (int Number = 0; Number < 4; ++Number) {
    const std::string Id = "r" + std::to_string(Number);
    HttpCall Call;
    Call.Method = "POST";
    Call.Url = "http://" + Server.address() + "/";
    Call.Headers["Apricotwing-Request-Id"] = Id;
    Call.Body = "body";
    Call.Timeout = LongTimeout;
    Call.MayResend = true;
    EXPECT_EQ(Client.perform(Call).State, TransferState::Complete);
    Repeated += Server.executions(Id) > 1 ? 1 : 0;
  }
  EXPECT_GT(Repeated, 0);
}

// Guards against a request that is reported as not sent although it was
// executed, and against a request that is sent after the sender has lost its
// authority.
TEST(UpstreamClientTest, NotSentMeansThatNothingWasWritten) {
  std::string ClosedAddress;
  {
    const RawServer ClosedServer([](RawServer &, RawConnection &) {});
    ClosedAddress = ClosedServer.address();
  }
  HttpClient Client;
  HttpUpstreamClient Upstream(Client);
  EXPECT_EQ(Upstream.send(request(ClosedAddress, "a", false)).Result,
            SendResult::NotSent);

  RawServer Server(closeOnSecondRequest);
  bool MaySend = false;
  const auto SendIfAllowed = [&](UpstreamRequest Request) {
    Request.MaySend = [&] { return MaySend; };
    return Upstream.send(Request);
  };
  EXPECT_EQ(SendIfAllowed(request(Server.address(), "b", false)).Result,
            SendResult::NotSent);
  EXPECT_EQ(SendIfAllowed(request(Server.address(), "c", true)).Result,
            SendResult::NotSent);
  EXPECT_EQ(
      SendIfAllowed(request(Server.address(), "x\r\nEvil: 1", false)).Result,
      SendResult::NotSent);
  EXPECT_EQ(
      SendIfAllowed(request(Server.address(), "d", false, Duration(0))).Result,
      SendResult::NotSent);
  MaySend = true;
  EXPECT_EQ(SendIfAllowed(request(Server.address(), "e", false)).Result,
            SendResult::Answered);
  for (const char *Id : {"b", "c", "d", "x"})
    EXPECT_EQ(Server.executions(Id), 0) << Id;
}

// Guards against a truncated response that is passed on as complete: a valid
// response that is cut at any byte must leave the call in doubt.
TEST(UpstreamClientTest, TruncatedResponsesAreNotPassedOn) {
  const std::string CompleteResponse =
      validResponse("id", "a body of some length");
  std::atomic<std::size_t> Length = 0;
  RawServer Server([&](RawServer &Self, RawConnection &Connection) {
    if (Self.execute(Connection))
      Connection.write(CompleteResponse.substr(0, Length));
  });
  HttpClient Client;
  HttpUpstreamClient Upstream(Client);
  for (Length = 0; Length < CompleteResponse.size(); ++Length) {
    const UpstreamAnswer Answer =
        Upstream.send(request(Server.address(), "id", Length % 2 == 0));
    EXPECT_EQ(Answer.Result, SendResult::InDoubt) << Length;
    EXPECT_TRUE(Answer.Body.empty()) << Length;
  }
  EXPECT_EQ(Upstream.send(request(Server.address(), "id", false)).Body,
            "a body of some length");
}

// Guards against complete responses that belong to another request or whose
// length is not certain. The connection of such a response must not be reused.
TEST(UpstreamClientTest, InvalidResponsesAreInDoubtAndCloseTheConnection) {
  const std::string StatusLine = "HTTP/1.1 200 OK\r\n";
  const std::string RequestIdHeader = "Apricotwing-Request-Id: id\r\n";
  const std::vector<std::string> InvalidResponses = {
      validResponse("other", "b"),
      validResponse("", "b"),
      validResponse("id2", "b"),
      StatusLine + "Content-Length: 1\r\n\r\nb",
      StatusLine + RequestIdHeader +
          "Transfer-Encoding: chunked\r\n\r\n1\r\nb\r\n0\r\n\r\n",
      StatusLine + RequestIdHeader +
          "Content-Length: 2\r\nContent-Length: 1\r\n\r\nb",
      "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
      "garbage\r\n\r\n"};
  for (const std::string &InvalidResponse : InvalidResponses) {
    RawServer Server([&](RawServer &Self, RawConnection &Connection) {
      bool First = true;
      while (Self.execute(Connection)) {
        Connection.write(First ? InvalidResponse : validResponse("id", "late"));
        First = false;
      }
    });
    HttpClient Client;
    HttpUpstreamClient Upstream(Client);
    for (int Call = 1; Call <= 2; ++Call) {
      const UpstreamAnswer Answer =
          Upstream.send(request(Server.address(), "id", true, ShortTimeout));
      EXPECT_EQ(Answer.Result, SendResult::InDoubt) << InvalidResponse;
      EXPECT_TRUE(Answer.Body.empty()) << InvalidResponse;
      EXPECT_EQ(Server.connections(), Call) << InvalidResponse;
    }
  }
}

// Guards against a response that is delivered to the wrong request: the late
// response to a request that timed out, or a surplus response without a
// request.
TEST(UpstreamClientTest, LateAndSurplusResponsesReachNoOtherRequest) {
  std::promise<void> ReleaseLateResponse;
  std::shared_future<void> LateResponseReleased =
      ReleaseLateResponse.get_future().share();
  RawServer Server([&](RawServer &Self, RawConnection &Connection) {
    while (const auto Id = Self.execute(Connection)) {
      if (*Id == "late")
        LateResponseReleased.wait();
      Connection.write(validResponse(*Id, "for " + *Id) +
                       validResponse("surplus", "for nobody"));
    }
  });
  HttpClient Client;
  HttpUpstreamClient Upstream(Client);
  const UpstreamAnswer LateAnswer =
      Upstream.send(request(Server.address(), "late", true, ShortTimeout));
  EXPECT_EQ(LateAnswer.Result, SendResult::InDoubt);
  ReleaseLateResponse.set_value();
  int Answered = 0;
  for (int Call = 0; Call < 20; ++Call) {
    const std::string Id = "r" + std::to_string(Call);
    const UpstreamAnswer Answer =
        Upstream.send(request(Server.address(), Id, Call % 2 == 0));
    if (Answer.Result != SendResult::Answered)
      continue;
    ++Answered;
    EXPECT_EQ(Answer.Body, "for " + Id);
  }
  EXPECT_GT(Answered, 0);
}

// Guards against a connection reset that is treated as a refusal, although the
// executor has read the request.
TEST(UpstreamClientTest, AResetAfterTheRequestIsInDoubt) {
  RawServer Server([](RawServer &Self, RawConnection &Connection) {
    Connection.resetOnClose();
    (void)Self.execute(Connection);
  });
  HttpClient Client;
  HttpUpstreamClient Upstream(Client);
  for (const bool Idempotent : {false, true})
    EXPECT_EQ(Upstream.send(request(Server.address(), "id", Idempotent)).Result,
              SendResult::InDoubt);
}

// Guards against responses delivered to the wrong caller, requests executed
// twice, and refused requests that were executed, while an executor is full,
// leaving or slow, or sends stale, truncated or no responses. The executor
// itself counts the executions.
TEST(UpstreamClientTest, ResultsMatchTheExecutionsOnTheExecutor) {
  standins::CellOptions Options;
  Options.Workers = 0;
  Options.Executors = 1;
  standins::Cell Cell(Options);
  HttpClient Client;
  HttpUpstreamClient Upstream(Client);
  struct SentRequest {
    std::string Id;
    UpstreamAnswer Answer;
  };
  const auto SendMany = [&](int Thread) {
    std::vector<SentRequest> Results;
    for (int Call = 0; Call < 60; ++Call) {
      const std::string Id =
          std::to_string(Thread) + "-" + std::to_string(Call);
      Results.push_back(
          {Id, Upstream.send(request(Cell.executorAddress(0), Id, Call % 2 == 0,
                                     ShortTimeout))});
    }
    return Results;
  };
  std::vector<std::future<std::vector<SentRequest>>> Senders;
  Senders.reserve(12);
  for (int Thread = 0; Thread < 12; ++Thread)
    Senders.push_back(std::async(std::launch::async, SendMany, Thread));
  for (const char *Fault :
       {R"("stale_answers":true)", R"("stale_answers":false,"truncate":true)",
        R"("truncate":false,"leaving":true)", R"("leaving":false)",
        R"("lose_answers":5)", R"("delay_ms":160)", R"("delay_ms":0)"}) {
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    Cell.control(R"({"target":"executor:e0",)" + std::string(Fault) + "}");
  }
  std::vector<SentRequest> Results;
  for (auto &Sender : Senders)
    for (SentRequest &Item : Sender.get())
      Results.push_back(std::move(Item));
  const nlohmann::json Counts = nlohmann::json::parse(Cell.counts());
  std::map<SendResult, int> ResultCounts;
  for (const auto &[Id, Answer] : Results) {
    ++ResultCounts[Answer.Result];
    const int Executions = Counts["requests"].value(Id, 0);
    EXPECT_LE(Executions, 1) << Id;
    if (Answer.Result == SendResult::Refused ||
        Answer.Result == SendResult::NotSent) {
      EXPECT_EQ(Executions, 0) << Id;
    }
    if (Answer.Result != SendResult::Answered)
      continue;
    EXPECT_EQ(Executions, 1) << Id;
    const nlohmann::json Body = nlohmann::json::parse(Answer.Body);
    EXPECT_EQ(Body["request"], Id);
    EXPECT_EQ(Body["echo"], "body of " + Id);
  }
  EXPECT_LE(Counts["worst_slots"].get<int>(), 8);
  EXPECT_GT(ResultCounts[SendResult::Answered], 0);
  EXPECT_GT(ResultCounts[SendResult::Refused], 0);
  EXPECT_GT(ResultCounts[SendResult::InDoubt], 0);
}

// Guards against requests to an executor that has announced that it is leaving.
TEST(UpstreamClientTest, ReportsALeavingExecutor) {
  standins::CellOptions Options;
  Options.Workers = 0;
  standins::Cell Cell(Options);
  HttpClient Client;
  HttpUpstreamClient Upstream(Client);
  EXPECT_FALSE(
      Upstream.send(request(Cell.executorAddress(0), "a", false)).Leaving);
  Cell.control(R"({"target":"executor:e0","leaving":true})");
  const UpstreamAnswer Answer =
      Upstream.send(request(Cell.executorAddress(0), "b", false));
  EXPECT_EQ(Answer.Result, SendResult::Refused);
  EXPECT_TRUE(Answer.Leaving);
}

} // namespace
} // namespace apricotwing
