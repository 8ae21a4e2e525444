/// \file
/// Heartbeats whose connection closes without a response.
#include "httpclient/rawserver.h"
#include "platform/executorclient.h"

#include <gtest/gtest.h>

#include <atomic>
#include <string>

namespace apricotwing::platform {
namespace {

/// Responds to the first request of each connection. Closes it without a
/// response once it has read the second one.
class ClosingExecutor {
public:
  /// Number of requests read so far.
  int requests() const { return Requests; }

  cell::HeartbeatResult heartbeat(const cell::HeartbeatRequest &Request) {
    cell::HeartbeatResult Answer;
    entry::ControlLoop Control;
    ExecutorClient Executors(Client, Control);
    Executors.heartbeat({{"i-1", 1000}, Server.address(), 7}, Request,
                        [&](const cell::HeartbeatResult &Result) {
                          Answer = Result;
                          Control.stop();
                        });
    Control.run([] {}, Duration{10});
    return Answer;
  }

private:
  void serve(RawConnection &Connection) {
    if (!Connection.readRequest())
      return;
    ++Requests;
    Connection.write(validResponse(
        "", R"({"clock_ms":5,"born":1000,"running":[],"finished":[]})"));
    if (Connection.readRequest())
      ++Requests;
  }

  std::atomic<int> Requests = 0;
  RawServer Server{
      [this](RawServer &, RawConnection &Connection) { serve(Connection); }};
  AsyncHttpClient Client;
};

// Guards against a deadline or an acknowledgement that the next process of an
// executor gets because the former one has closed its connection.
TEST(ExecutorClientTest, SendsNoDeadlineOrAcknowledgementTwice) {
  for (const cell::HeartbeatRequest &Request :
       {cell::HeartbeatRequest{100, 0, Duration{0}},
        cell::HeartbeatRequest{std::nullopt, 3, Duration{0}},
        cell::HeartbeatRequest{100, 3, Duration{50}}}) {
    ClosingExecutor Executor;
    EXPECT_EQ(Executor.heartbeat({}).Outcome, cell::WorkerOutcome::Done);
    const cell::HeartbeatResult Closed = Executor.heartbeat(Request);
    EXPECT_EQ(Executor.requests(), 2);
    EXPECT_EQ(Closed.Outcome, cell::WorkerOutcome::NoAnswer);
    EXPECT_TRUE(Closed.ConnectionClosed);
  }
}

// Verifies that the test above can detect a second send.
TEST(ExecutorClientTest, SendsAPlainHeartbeatAgain) {
  ClosingExecutor Executor;
  EXPECT_EQ(Executor.heartbeat({}).Outcome, cell::WorkerOutcome::Done);
  EXPECT_EQ(Executor.heartbeat({}).Outcome, cell::WorkerOutcome::Done);
  EXPECT_EQ(Executor.requests(), 3);
}

// Guards against a heartbeat that is repeated after its timeout.
TEST(ExecutorClientTest, ATimeoutIsNoClosedConnection) {
  const RawServer Server([](RawServer &, RawConnection &Connection) {
    while (Connection.readRequest())
      ;
  });
  AsyncHttpClient Client;
  entry::ControlLoop Control;
  ExecutorClient Executors(Client, Control);
  cell::HeartbeatResult Answer;
  Answer.ConnectionClosed = true;
  Executors.heartbeat({{"i-1", 1000}, Server.address(), 7}, {100, 0, {}},
                      [&](const cell::HeartbeatResult &Result) {
                        Answer = Result;
                        Control.stop();
                      });
  Control.run([] {}, Duration{10});
  EXPECT_EQ(Answer.Outcome, cell::WorkerOutcome::NoAnswer);
  EXPECT_FALSE(Answer.ConnectionClosed);
}

} // namespace
} // namespace apricotwing::platform
