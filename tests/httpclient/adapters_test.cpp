#include "core/error.h"
#include "httpclient/crypto.h"
#include "httpclient/httpinstancelist.h"
#include "httpclient/httpobjectstore.h"
#include "httpclient/httppeerclient.h"
#include "httpclient/httptableservice.h"
#include "httpclient/httpworkerclient.h"
#include "httpclient/rawserver.h"
#include "httpclient/steadyclock.h"
#include "standins/cell.h"
#include "support/fixedseeds.h"
#include "wire/peercodec.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <functional>

namespace apricotwing {
namespace {

constexpr Duration LongTimeout{20000};
constexpr Duration ShortTimeout{100};

/// Returns the error that \p Call throws; fails the test if it throws none.
Error errorOf(const std::function<void()> &Call) {
  try {
    Call();
  } catch (const Error &Failure) {
    return Failure;
  }
  ADD_FAILURE() << "no error";
  return {ErrorKind::Internal, "no error", ""};
}

/// Waits until \p Condition holds; fails the test after 20 seconds.
void waitFor(const std::function<bool()> &Condition) {
  for (int Try = 0; Try < 4000; ++Try) {
    if (Condition())
      return;
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  FAIL() << "the condition never held";
}

class AdaptersTest : public testing::Test {
protected:
  AdaptersTest() : Cell(options()) {}

  static standins::CellOptions options() {
    standins::CellOptions Options;
    Options.Workers = 1;
    Options.Executors = 1;
    return Options;
  }

  HttpTableService table(Duration Timeout = LongTimeout) {
    return {Client, "http://" + Cell.tableAddress() + "/", Timeout};
  }

  void setFaults(const std::string &Target, const std::string &Switches) {
    Cell.control(R"({"target":")" + Target + R"(",)" + Switches + "}");
  }

  nlohmann::json counts() const { return nlohmann::json::parse(Cell.counts()); }

  standins::Cell Cell;
  HttpClient Client;
};

Transaction makeInsertion(const std::string &Id, const std::string &Key) {
  return {Id, {{Key, 0}}, {{Key, "value of " + Id}}};
}

// Guards against a conflict that is treated as a commit, and against scans over
// several pages that lose or repeat rows.
TEST_F(AdaptersTest, TableCommitsReadsAndScans) {
  HttpTableService Table = table();
  EXPECT_EQ(Table.transact(makeInsertion("t1", "a")), CommitResult::Committed);
  EXPECT_EQ(Table.transact(makeInsertion("t2", "a")), CommitResult::Conflict);
  EXPECT_EQ(Table.read("a").value_or(Row()).Transaction, "t1");
  EXPECT_EQ(Table.read("b"), std::nullopt);
  Transaction ManyInserts{"t3", {}, {{"a", std::nullopt}}};
  for (int Index = 1000; Index < 3500; ++Index)
    ManyInserts.Writes.push_back({"p/" + std::to_string(Index), "v"});
  EXPECT_EQ(Table.transact(ManyInserts), CommitResult::Committed);
  EXPECT_EQ(Table.read("a"), std::nullopt);
  const std::vector<Row> Rows = Table.scan("p/", "p/1099", 2200);
  ASSERT_EQ(Rows.size(), 2200U);
  EXPECT_EQ(Rows.front().Key, "p/1100");
  EXPECT_EQ(Rows.back().Key, "p/3299");
  EXPECT_EQ(Table.scan("p/", {}, 5000).size(), 2500U);
}

// Guards against a transaction that is reported as not executed although it
// took effect, and against an unknown outcome if it certainly did not.
TEST_F(AdaptersTest, TableDistinguishesNotRunFromUnknown) {
  setFaults("table", R"("down":true)");
  HttpTableService Table = table();
  const auto Insert = [&] { (void)Table.transact(makeInsertion("t1", "a")); };
  EXPECT_EQ(errorOf(Insert).kind(), ErrorKind::StoreUnavailable);
  EXPECT_EQ(errorOf([&] { (void)Table.read("a"); }).kind(),
            ErrorKind::StoreUnavailable);
  setFaults("table", R"("down":false,"truncate":true)");
  HttpTableService ShortTimeoutClient = table(ShortTimeout);
  const Error TruncationError = errorOf(
      [&] { (void)ShortTimeoutClient.transact(makeInsertion("t1", "a")); });
  EXPECT_EQ(TruncationError.kind(), ErrorKind::StoreUnknownOutcome);
  EXPECT_EQ(TruncationError.outcome(), Outcome::Unknown);
  HttpTableService UnreachableTable(Client, "http://127.0.0.1:1", LongTimeout);
  EXPECT_EQ(errorOf([&] {
              (void)UnreachableTable.transact(makeInsertion("t1", "a"));
            }).kind(),
            ErrorKind::StoreUnavailable);
}

// Guards against a malformed response that is treated as a commit or a
// conflict.
TEST_F(AdaptersTest, MalformedTableResponsesHaveUnknownOutcome) {
  for (const std::string &Text :
       {validResponse("", "{}"), validResponse("", R"({"revision":-1})"),
        validResponse("", "not json"),
        std::string("HTTP/1.1 409 C\r\nContent-Length: 2\r\n\r\n{}"),
        std::string("HTTP/1.1 500 E\r\nContent-Length: 0\r\n\r\n"),
        std::string("HTTP/1.1 200 OK\r\nContent-Length: 14\r\n\r\n{\"revis"),
        std::string()}) {
    RawServer Server([&](RawServer &Self, RawConnection &Connection) {
      if (Self.execute(Connection))
        Connection.write(Text);
    });
    HttpTableService Table(Client, "http://" + Server.address(), LongTimeout);
    EXPECT_EQ(
        errorOf([&] { (void)Table.transact(makeInsertion("t", "a")); }).kind(),
        ErrorKind::StoreUnknownOutcome)
        << Text;
    EXPECT_EQ(errorOf([&] { (void)Table.read("a"); }).kind(),
              ErrorKind::StoreUnavailable)
        << Text;
  }
}

// Guards against a conflict with the transaction itself: it must not be sent
// twice within one call.
TEST_F(AdaptersTest, TransactionIsSentOncePerCall) {
  std::atomic<int> Transactions = 0;
  RawServer Server([&](RawServer &, RawConnection &Connection) {
    while (const auto Request = Connection.readRequest()) {
      if (Request->starts_with("POST /v1/transact")) {
        ++Transactions;
        return;
      }
      Connection.write(validResponse("", R"({"rows":[]})"));
    }
  });
  HttpTableService Table(Client, "http://" + Server.address(), LongTimeout);
  EXPECT_EQ(Table.read("a"), std::nullopt);
  EXPECT_EQ(
      errorOf([&] { (void)Table.transact(makeInsertion("t", "a")); }).kind(),
      ErrorKind::StoreUnknownOutcome);
  EXPECT_EQ(Transactions, 1);
}

// Guards against a result that contradicts the table after a response was lost.
// Each transaction either inserts a row or conflicts with an existing one.
TEST_F(AdaptersTest, LostResponsesAreResolved) {
  HttpTableService ReliableTable = table();
  HttpTableService ShortTimeoutClient = table(ShortTimeout);
  int Iteration = 0;
  int UnresolvedCalls = 0;
  checkWithFixedSeeds(
      [&] {
        const std::string Key = "k" + std::to_string(++Iteration);
        const bool KeyIsTaken = *rc::gen::arbitrary<bool>();
        if (KeyIsTaken)
          (void)ReliableTable.transact(makeInsertion("other", Key));
        const std::string Fault = *rc::gen::element<std::string>(
            R"("lose_answers":1)", R"("lose_answers":2)", R"("hold_ms":130)",
            R"("delay_ms":130)", R"("truncate":true)", R"("down":true)");
        setFaults("table", Fault);
        const Transaction Insertion = makeInsertion("mine" + Key, Key);
        std::optional<CommitResult> Result;
        try {
          Result = commitWithRetry(ShortTimeoutClient, Insertion, Key, 1);
        } catch (const Error &Failure) {
          RC_ASSERT(Failure.kind() == ErrorKind::StoreUnknownOutcome ||
                    Failure.kind() == ErrorKind::StoreUnavailable);
          ++UnresolvedCalls;
        }
        setFaults(
            "table",
            R"("lose_answers":0,"hold_ms":0,"delay_ms":0,"truncate":false,)"
            R"("down":false)");
        if (!Result)
          Result = commitWithRetry(ReliableTable, Insertion, Key, 20);
        RC_ASSERT(*Result == (KeyIsTaken ? CommitResult::Conflict
                                         : CommitResult::Committed));
        RC_ASSERT(ReliableTable.read(Key).value_or(Row()).Transaction ==
                  (KeyIsTaken ? "other" : Insertion.Id));
      },
      6);
  EXPECT_GT(UnresolvedCalls, 0);
}

// Guards against objects that are truncated, or confused because their names
// contain special characters.
TEST_F(AdaptersTest, ObjectsKeepNameAndContent) {
  HttpObjectStore Store(Client, "http://" + Cell.objectsAddress(), LongTimeout);
  std::string Content(300000, 'x');
  Content[1000] = '\0';
  Store.put("snapshot/s 1%2F/7", Content);
  Store.put("snapshot/s", "small");
  EXPECT_EQ(Store.read("snapshot/s 1%2F/7"), Content);
  Store.remove("snapshot/s");
  Store.remove("snapshot/s");
  EXPECT_EQ(Store.read("snapshot/s"), std::nullopt);
  setFaults("objects", R"("down":true)");
  EXPECT_EQ(errorOf([&] { Store.put("a", "b"); }).kind(),
            ErrorKind::StoreUnavailable);
  EXPECT_EQ(errorOf([&] { (void)Store.read("a"); }).kind(),
            ErrorKind::StoreUnavailable);
  RawServer TruncatingServer([](RawServer &, RawConnection &Connection) {
    if (Connection.readRequest())
      Connection.write("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ncut");
  });
  HttpObjectStore Broken(Client, "http://" + TruncatingServer.address(),
                         LongTimeout);
  EXPECT_EQ(errorOf([&] { (void)Broken.read("a"); }).kind(),
            ErrorKind::StoreUnavailable);
}

// Guards against a leaving executor that is decoded as live, and against
// entries of the list that are lost.
TEST_F(AdaptersTest, InstanceListShowsStates) {
  HttpInstanceList List(Client, "http://" + Cell.listAddress(), LongTimeout);
  setFaults("list",
            R"("set_entry":{"id":"i1","address":"a:1","peer_address":"a:2",)"
            R"("zone":"z1","state":"leaving"})");
  setFaults("executor:e0", R"("leaving":true)");
  const InstanceSnapshot Snapshot = List.read();
  EXPECT_EQ(Snapshot.Instances.at(0).PeerAddress, "a:2");
  EXPECT_EQ(Snapshot.Instances.at(0).State, ListedState::Leaving);
  EXPECT_EQ(Snapshot.Workers.at(0).Address, Cell.workerAddress(0));
  EXPECT_EQ(Snapshot.Workers.at(0).State, ListedState::Live);
  EXPECT_EQ(Snapshot.Executors.at(0).State, ListedState::Leaving);
  setFaults("list", R"("list_lag_ms":600000)");
  EXPECT_EQ(List.read().Executors.at(0).State, ListedState::Live);
}

TaskStart makeTaskStart(const std::string &Run, Epoch ShardEpoch,
                        const std::string &Payload,
                        std::int64_t CpuMillis = 20000) {
  return {"s",     ShardEpoch, {{Run, 0}, 1}, {CpuMillis, 1, 0},
          Payload, false,      INT64_MAX};
}

// Guards against a worker's refusal that is reported as an unknown outcome, and
// against an unknown outcome that is reported as a refusal.
TEST_F(AdaptersTest, WorkerErrorsReportTheOutcome) {
  HttpWorkerClient Workers(Client, LongTimeout);
  const std::string &Address = Cell.workerAddress(0);
  const auto Start = [&](const TaskStart &Request) {
    return [&Workers, &Address, Request] { Workers.start(Address, Request); };
  };
  const Error NoLease = errorOf(Start(makeTaskStart("r", 2, "")));
  EXPECT_EQ(NoLease.kind(), ErrorKind::UpstreamFailed);
  EXPECT_EQ(NoLease.outcome(), Outcome::NotRun);
  const std::int64_t Now = Workers.renew(Address, {"s", 2, 0, {}}).NowMs;
  (void)Workers.renew(Address, {"s", 2, Now + 600000, {}});
  TaskStart Late = makeTaskStart("late", 2, "");
  Late.DeadlineMs = Now;
  EXPECT_EQ(errorOf(Start(Late)).outcome(), Outcome::NotRun)
      << "the lease is renewed, but the start is older than that";
  Workers.start(Address, makeTaskStart("r", 2, R"({"run_ms":-1})"));
  Workers.start(Address, makeTaskStart("r", 2, R"({"run_ms":-1})"));
  EXPECT_EQ(counts()["attempts"]["r/0#1"], 1);
  EXPECT_EQ(errorOf(Start(makeTaskStart("big", 2, ""))).kind(),
            ErrorKind::LimitReached);
  EXPECT_EQ(errorOf(Start(makeTaskStart("old", 1, ""))).kind(),
            ErrorKind::StaleEpoch);
  const Error Gone =
      errorOf([&] { Workers.start("127.0.0.1:1", makeTaskStart("r", 2, "")); });
  EXPECT_EQ(Gone.kind(), ErrorKind::UpstreamFailed);
  EXPECT_EQ(Gone.outcome(), Outcome::NotRun);
  setFaults("worker:w0", R"("lose_answers":1)");
  HttpWorkerClient ShortTimeoutClient(Client, ShortTimeout);
  const Error Lost = errorOf([&] {
    ShortTimeoutClient.start(Address, makeTaskStart("lost", 2, "", 1));
  });
  EXPECT_EQ(Lost.kind(), ErrorKind::UpstreamFailed);
  EXPECT_EQ(Lost.outcome(), Outcome::Unknown);
  EXPECT_EQ(counts()["attempts"]["lost/0#1"], 1);
}

// Guards against a stand-in that is more lenient than a real worker. It must
// end tasks at the lease deadline, must not run an attempt after its stop, and
// after a pause must end tasks with an expired lease before it handles the
// queued messages.
TEST_F(AdaptersTest, WorkerStandinKeepsTheLease) {
  HttpWorkerClient Workers(Client, LongTimeout);
  const std::string &Address = Cell.workerAddress(0);
  const auto Renew = [&](std::int64_t Deadline,
                         std::vector<AttemptId> Acknowledged = {}) {
    return Workers.renew(Address, {"s", 1, Deadline, std::move(Acknowledged)});
  };
  const TaskStart Endless = makeTaskStart("r", 1, R"({"run_ms":-1})");
  const TaskStart Stopped = makeTaskStart("stopped", 1, "", 1);
  Workers.stop(Address, {"s", 1, Stopped.Id, StopMode::Stop});
  (void)Renew(Renew(0).NowMs + 600000);
  Workers.start(Address, Stopped);
  EXPECT_FALSE(counts()["attempts"].contains("stopped/0#1"));
  const LeaseAnswer Cancelled = Renew(0);
  ASSERT_EQ(Cancelled.Tasks.size(), 1U);
  EXPECT_EQ(Cancelled.Tasks[0].State, TaskState::Cancelled);
  EXPECT_TRUE(Renew(0, {Stopped.Id}).Tasks.empty());

  HttpWorkerClient ShortTimeoutClient(Client, ShortTimeout);
  (void)Workers.renew(Address, {"other", 1, Renew(0).NowMs + 2000, {}});
  TaskStart Short = Endless;
  Short.Shard = "other";
  Workers.start(Address, Short);
  setFaults("worker:w0", R"("paused":true)");
  std::this_thread::sleep_for(std::chrono::milliseconds(2100));
  // This renewal arrives after the lease has expired and must not keep the task
  // running.
  EXPECT_THROW(
      (void)ShortTimeoutClient.renew(Address, {"other", 1, INT64_MAX, {}}),
      Error);
  EXPECT_EQ(counts()["running_tasks"], 0);
  setFaults("worker:w0", R"("paused":false)");
  const LeaseAnswer Killed = Renew(0);
  ASSERT_EQ(Killed.Tasks.size(), 1U);
  EXPECT_EQ(Killed.Tasks[0].State, TaskState::Lost);
}

// Guards against a worker that ends the tasks of an expired lease only when the
// next message arrives.
TEST_F(AdaptersTest, WorkerStandinEndsTasksWithoutAMessage) {
  HttpWorkerClient Workers(Client, LongTimeout);
  const std::string &Address = Cell.workerAddress(0);
  const std::int64_t Now = Workers.renew(Address, {"s", 1, 0, {}}).NowMs;
  (void)Workers.renew(Address, {"s", 1, Now + 2000, {}});
  Workers.start(Address, makeTaskStart("r", 1, R"({"run_ms":-1})"));
  waitFor([&] { return counts()["ended"].value("lost", 0) == 1; });
}

// Guards against a missing or malformed response that is treated as a promise.
TEST_F(AdaptersTest, PeersWithoutValidResponseAreUnreachable) {
  HttpPeerClient Peers(Client, LongTimeout);
  EXPECT_EQ(Peers.requestPromise("127.0.0.1:1", "i1", 3), std::nullopt);
  const auto Server =
      startHttpServer(HttpServerOptions(), [](const HttpRequest &Request,
                                              const Responder &Reply) {
        HttpResponse Response;
        const SessionId Asker = decodePromiseRequest(Request.Body);
        if (Asker.Instance == "i1")
          Response.Body = encodePromise({false, Duration(6000), 4});
        else
          Response.Body = R"({"store_reachable":false,"promise_ms":-1})";
        Reply(Response);
      });
  const std::string Address = "127.0.0.1:" + std::to_string(Server->port());
  const auto Promise = Peers.requestPromise(Address, "i1", 3);
  ASSERT_TRUE(Promise.has_value());
  EXPECT_EQ(Promise->PromisedFor, Duration(6000));
  EXPECT_EQ(Peers.requestPromise(Address, "i2", 3), std::nullopt);
  EXPECT_EQ(Peers.runView(Address, "t", "r"), std::nullopt);
  Peers.notify(Address, "s");
}

// Guards against digests that differ from other SHA-256 implementations, and
// against random ids that repeat.
TEST(CryptoTest, Sha256MatchesPublishedVectorAndIdsDiffer) {
  EXPECT_EQ(sha256Hex("abc"), "ba7816bf8f01cfea414140de5dae2223"
                              "b00361a396177a9cb410ff61f20015ad");
  EXPECT_EQ(randomId().size(), 32U);
  EXPECT_NE(randomId(), randomId());
  EXPECT_LE(SteadyClock().now(), SteadyClock().now());
}

} // namespace
} // namespace apricotwing
