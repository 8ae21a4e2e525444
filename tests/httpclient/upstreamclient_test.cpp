#include "httpclient/httpupstreamclient.h"
#include "httpclient/rawserver.h"
#include "standins/cell.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <future>

namespace apricotwing {
namespace {

/// Limit for calls that are expected to end by themselves.
constexpr Duration Generous{20000};

/// Limit for calls that are expected to run into it.
constexpr Duration Brief{150};

UpstreamRequest request(const std::string &Address, const std::string &Id,
                        bool Idempotent, Duration Timeout = Generous) {
  return {Address, Id, "body of " + Id, "text/plain", Idempotent, Timeout, {}};
}

/// Answers the first request of each connection and closes the connection on
/// the second one, which it has read and executed.
void closeOnSecondRequest(RawServer &Server, RawConnection &Connection) {
  if (const auto Id = Server.execute(Connection))
    Connection.write(goodAnswer(*Id, "answer"));
  (void)Server.execute(Connection);
}

// Guards against a counter check that runs twice: libcurl writes a request
// again when a reused connection closes without an answer.
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

// Shows that the test above would see a second execution: without the
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
    Call.Timeout = Generous;
    Call.MayResend = true;
    EXPECT_EQ(Client.perform(Call).State, TransferState::Complete);
    Repeated += Server.executions(Id) > 1 ? 1 : 0;
  }
  EXPECT_GT(Repeated, 0);
}

// Guards against a request that is reported as not sent although it ran, and
// against an executor that is asked after the sender lost its authority.
TEST(UpstreamClientTest, NotSentMeansThatNothingWasWritten) {
  std::string Closed;
  {
    const RawServer Gone([](RawServer &, RawConnection &) {});
    Closed = Gone.address();
  }
  HttpClient Client;
  HttpUpstreamClient Upstream(Client);
  EXPECT_EQ(Upstream.send(request(Closed, "a", false)).Result,
            SendResult::NotSent);

  RawServer Server(closeOnSecondRequest);
  bool MaySend = false;
  const auto Guarded = [&](UpstreamRequest Request) {
    Request.MaySend = [&] { return MaySend; };
    return Upstream.send(Request);
  };
  EXPECT_EQ(Guarded(request(Server.address(), "b", false)).Result,
            SendResult::NotSent);
  EXPECT_EQ(Guarded(request(Server.address(), "c", true)).Result,
            SendResult::NotSent);
  EXPECT_EQ(Guarded(request(Server.address(), "x\r\nEvil: 1", false)).Result,
            SendResult::NotSent);
  EXPECT_EQ(Guarded(request(Server.address(), "d", false, Duration(0))).Result,
            SendResult::NotSent);
  MaySend = true;
  EXPECT_EQ(Guarded(request(Server.address(), "e", false)).Result,
            SendResult::Answered);
  for (const char *Id : {"b", "c", "d", "x"})
    EXPECT_EQ(Server.executions(Id), 0) << Id;
}

// Guards against a cut answer that is passed on as a whole one: cutting a
// correct answer at any byte must leave the call in doubt.
TEST(UpstreamClientTest, AnswersCutAtAnyByteAreNotPassedOn) {
  const std::string Whole = goodAnswer("id", "a body of some length");
  std::atomic<std::size_t> Length = 0;
  RawServer Server([&](RawServer &Self, RawConnection &Connection) {
    if (Self.execute(Connection))
      Connection.write(Whole.substr(0, Length));
  });
  HttpClient Client;
  HttpUpstreamClient Upstream(Client);
  for (Length = 0; Length < Whole.size(); ++Length) {
    const UpstreamAnswer Answer =
        Upstream.send(request(Server.address(), "id", Length % 2 == 0));
    EXPECT_EQ(Answer.Result, SendResult::InDoubt) << Length;
    EXPECT_TRUE(Answer.Body.empty()) << Length;
  }
  EXPECT_EQ(Upstream.send(request(Server.address(), "id", false)).Body,
            "a body of some length");
}

// Guards against answers that are whole but not the caller's, or whose end is
// not certain. The connection of such an answer must not be used again.
TEST(UpstreamClientTest, UnusableAnswersAreInDoubtAndCloseTheConnection) {
  const std::string Head = "HTTP/1.1 200 OK\r\n";
  const std::string Echo = "Apricotwing-Request-Id: id\r\n";
  const std::vector<std::string> Unusable = {
      goodAnswer("other", "b"),
      goodAnswer("", "b"),
      goodAnswer("id2", "b"),
      Head + "Content-Length: 1\r\n\r\nb",
      Head + Echo + "Transfer-Encoding: chunked\r\n\r\n1\r\nb\r\n0\r\n\r\n",
      Head + Echo + "Content-Length: 2\r\nContent-Length: 1\r\n\r\nb",
      "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
      "garbage\r\n\r\n"};
  for (const std::string &Text : Unusable) {
    RawServer Server([&](RawServer &Self, RawConnection &Connection) {
      bool First = true;
      while (Self.execute(Connection)) {
        Connection.write(First ? Text : goodAnswer("id", "late"));
        First = false;
      }
    });
    HttpClient Client;
    HttpUpstreamClient Upstream(Client);
    for (int Call = 1; Call <= 2; ++Call) {
      const UpstreamAnswer Answer =
          Upstream.send(request(Server.address(), "id", true, Brief));
      EXPECT_EQ(Answer.Result, SendResult::InDoubt) << Text;
      EXPECT_TRUE(Answer.Body.empty()) << Text;
      EXPECT_EQ(Server.connections(), Call) << Text;
    }
  }
}

// Guards against a late answer that reaches the next request, be it the answer
// of a request that was given up or an answer that nobody had asked for.
TEST(UpstreamClientTest, LateAndSurplusAnswersReachNobodyElse) {
  std::promise<void> GivenUp;
  std::shared_future<void> Wait = GivenUp.get_future().share();
  RawServer Server([&](RawServer &Self, RawConnection &Connection) {
    while (const auto Id = Self.execute(Connection)) {
      if (*Id == "late")
        Wait.wait();
      Connection.write(goodAnswer(*Id, "for " + *Id) +
                       goodAnswer("surplus", "for nobody"));
    }
  });
  HttpClient Client;
  HttpUpstreamClient Upstream(Client);
  const UpstreamAnswer Late =
      Upstream.send(request(Server.address(), "late", true, Brief));
  EXPECT_EQ(Late.Result, SendResult::InDoubt);
  GivenUp.set_value();
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

// Guards against a reset that is taken for a refusal: the request was read.
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

// Guards against answers that go to another caller, second executions and
// refusals that ran, while an executor is full, leaving, slow, sends stale or
// cut answers, or loses them. The counts come from the executor.
TEST(UpstreamClientTest, ResultsAgreeWithWhatTheExecutorDid) {
  standins::CellOptions Options;
  Options.Workers = 0;
  Options.Executors = 1;
  standins::Cell Cell(Options);
  HttpClient Client;
  HttpUpstreamClient Upstream(Client);
  struct Sent {
    std::string Id;
    UpstreamAnswer Answer;
  };
  const auto SendMany = [&](int Thread) {
    std::vector<Sent> Results;
    for (int Call = 0; Call < 60; ++Call) {
      const std::string Id =
          std::to_string(Thread) + "-" + std::to_string(Call);
      Results.push_back({Id, Upstream.send(request(Cell.executorAddress(0), Id,
                                                   Call % 2 == 0, Brief))});
    }
    return Results;
  };
  std::vector<std::future<std::vector<Sent>>> Senders;
  Senders.reserve(12);
  for (int Thread = 0; Thread < 12; ++Thread)
    Senders.push_back(std::async(std::launch::async, SendMany, Thread));
  for (const char *Switch :
       {R"("stale_answers":true)", R"("stale_answers":false,"truncate":true)",
        R"("truncate":false,"leaving":true)", R"("leaving":false)",
        R"("lose_answers":5)", R"("delay_ms":160)", R"("delay_ms":0)"}) {
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    Cell.control(R"({"target":"executor:e0",)" + std::string(Switch) + "}");
  }
  std::vector<Sent> Results;
  for (auto &Sender : Senders)
    for (Sent &Each : Sender.get())
      Results.push_back(std::move(Each));
  const nlohmann::json Counts = nlohmann::json::parse(Cell.counts());
  std::map<SendResult, int> Seen;
  for (const auto &[Id, Answer] : Results) {
    ++Seen[Answer.Result];
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
  EXPECT_GT(Seen[SendResult::Answered], 0);
  EXPECT_GT(Seen[SendResult::Refused], 0);
  EXPECT_GT(Seen[SendResult::InDoubt], 0);
}

// Guards against more work for an executor that has said that it is leaving.
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
