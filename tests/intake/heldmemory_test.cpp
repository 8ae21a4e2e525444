#include "intake/entryfixture.h"
#include "soak/workload.h"

#include <cstdio>
#include <vector>

namespace apricotwing::intake {
namespace {

/// Bytes of the bodies, which may have 256 KiB.
constexpr std::size_t BodyBytes = 255'000;

/// What clients make the process hold beyond unfinished requests.
class HeldMemoryTest : public EntryTest {
protected:
  HeldMemoryTest() : EntryTest(SmallestDeployedMachine) {}

  static std::string jobPath(int Number) {
    char Id[32];
    std::snprintf(Id, sizeof Id, "%016x", unsigned(Number));
    return std::string("/sorting/") + Id;
  }

  static std::map<std::string, std::string> headers(int Account) {
    return {{"Host", "soak.example"},
            {"Authorization", "Bearer " + soak::accountKey(Account)}};
  }

  /// Header lines of a call that waits for up to a minute.
  static std::string patientHeaders() {
    return "Host: soak.example\r\nAuthorization: Bearer " +
           soak::accountKey(0) + "\r\nX-Apricotwing-Deadline-Ms: 60000\r\n";
  }

  int call(const std::string &Method, int Job, const std::string &Body = "",
           int Account = 0) {
    return soak::call(Entries.ip(0), soak::Entries::ClientPort, Method,
                      jobPath(Job), headers(Account), Body, AnswerTimeoutMs)
        .Status;
  }

  int submit(int Job, int Tasks, int Account) {
    return call("POST", Job,
                R"({"spec":"s","steps":[{"count":)" + std::to_string(Tasks) +
                    R"(,"cpu":1000,"mem_mb":64,"estimated_duration_ms":900}]})",
                Account);
  }

  /// Repeats a call until it has the status \p Expected, for a minute.
  void expectEventually(const std::string &Method, int Job, int Expected) {
    int Status = 0;
    for (const std::int64_t Until = soak::nowMs() + 60'000;
         soak::nowMs() < Until && Status != Expected; soak::sleepMs(100))
      Status = call(Method, Job);
    EXPECT_EQ(Status, Expected) << Method << " " << Job;
  }

  /// Checks that the process and the one after it are sound, that the next
  /// process knows the jobs in \p Accepted and that another account can submit
  /// one.
  void expectSoundAfterTakeover(const std::vector<int> &Accepted) {
    constexpr int OrdinaryJob = 9001;
    expectSound();
    EXPECT_EQ(submit(OrdinaryJob, 8, 1), 200);
    Entries.kill(0);
    Entries.start(0);
    awaitReady();
    for (const int Job : Accepted)
      expectEventually("GET", Job, 200);
    expectEventually("GET", OrdinaryJob, 200);
    expectSound();
  }

  /// Cuts the process off from its store for longer than a leader's lease.
  /// Calls that come later still are not kept waiting, as they are sent to no
  /// leader.
  void loseStore() {
    Store.setDown(0, true);
    soak::sleepMs(1500);
  }

  void expectServedAfterReturnOfStore() {
    EXPECT_LE(heldMb(), Machine.MemoryMb);
    constexpr int UnknownJob = 9999;
    EXPECT_NE(call("GET", UnknownJob), 0);
    Store.setDown(0, false);
    awaitReady();
    constexpr int Unknown = 410;
    expectEventually("GET", UnknownJob, Unknown);
    expectSound();
  }
};

// Guards against accepted jobs that take more memory than a leader has, and
// than each leader after it has.
TEST_F(HeldMemoryTest, SurvivesAcceptedJobsWithManyTasks) {
  std::vector<int> Accepted;
  for (int Job = 0; Job < 60; ++Job)
    if (submit(Job, 20'000, 0) == 200)
      Accepted.push_back(Job);
  EXPECT_FALSE(Accepted.empty());
  expectSoundAfterTakeover(Accepted);
}

// Guards against accounts that each stay within a limit and exceed the memory
// together.
TEST_F(HeldMemoryTest, SurvivesLargeJobsOfManyAccounts) {
  std::vector<int> Accepted;
  for (int Job = 0; Job < 60; ++Job)
    if (submit(Job, 20'000, 2 + Job % 4) == 200)
      Accepted.push_back(Job);
  EXPECT_FALSE(Accepted.empty());
  expectSoundAfterTakeover(Accepted);
}

// Guards against cancelled jobs that keep the memory of their tasks for as long
// as their state can be queried.
TEST_F(HeldMemoryTest, SurvivesLargeJobsThatAreCancelledAtOnce) {
  std::vector<int> Accepted;
  for (int Job = 0; Job < 60; ++Job)
    if (submit(Job, 20'000, 0) == 200) {
      Accepted.push_back(Job);
      EXPECT_EQ(call("DELETE", Job), 200);
    }
  EXPECT_FALSE(Accepted.empty());
  expectSoundAfterTakeover(Accepted);
}

// Guards against calls that wait for the store on all connections, so that
// nobody else gets one.
TEST_F(HeldMemoryTest, AnswersWhileManyCallsWaitForTheStore) {
  loseStore();
  occupy(soak::Entries::ClientPort, 900,
         request("GET", jobPath(1), patientHeaders(), ""));
  expectServedAfterReturnOfStore();
}

// Guards against the same with submissions, whose bodies the process keeps.
TEST_F(HeldMemoryTest, AnswersWhileManySubmissionsWaitForTheStore) {
  loseStore();
  const std::string Body =
      listOf(R"({"spec":")" + std::string(3900, 's') + R"(","steps":[)",
             R"({"count":1})", "]}", 15'000);
  for (int Job = 0; Job < 900; ++Job)
    Open.emplace_back(Entries.ip(0), soak::Entries::ClientPort)
        .send(request("POST", jobPath(Job + 100), patientHeaders(), Body));
  soak::sleepMs(SettleMs);
  expectServedAfterReturnOfStore();
}

// Guards against bodies whose parsed form takes many times their bytes.
TEST_F(HeldMemoryTest, SurvivesBodiesWithManySmallValues) {
  occupy(soak::Entries::ClientPort, 600, head("/api/jobs") + chunks(7, 37'000));
  occupy(PeerPort, 12, head("/cell/v1/mail") + chunks(160, 100'000));
  const std::string Opening = R"({"spec":"s","steps":[)";
  for (const std::string &Body :
       {listOf(Opening, "{}", "]}", BodyBytes),
        listOf(Opening, R"({"count":1})", "]}", BodyBytes),
        listOf(Opening + R"({"count":1,"after":[)", "0", "]}]}", BodyBytes),
        listOf(Opening, "[[[[]]]]", "]}", BodyBytes),
        "{\"steps\":" + std::string(BodyBytes / 2, '[') +
            std::string(BodyBytes / 2, ']') + "}"})
    for (int Round = 0; Round < 3; ++Round) {
      std::list<Client> Senders;
      for (int Sender = 0; Sender < 60; ++Sender)
        Senders.emplace_back(Entries.ip(0), soak::Entries::ClientPort)
            .send(request("POST", jobPath(1), patientHeaders(), Body));
      for (Client &Sender : Senders)
        EXPECT_FALSE(Sender.receive().empty());
    }
  expectSound();
}

// Guards against input that the process leaves in its sockets while a call of
// the same connection waits, or while its response is not read.
TEST_F(HeldMemoryTest, SurvivesInputThatIsNotRead) {
  std::string Dumps;
  for (int Index = 0; Index < 2000; ++Index)
    Dumps += "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n";
  const std::string Garbage(200'000, 'x');
  std::list<Client> Peers;
  for (int Index = 0; Index < 380; ++Index)
    Peers.emplace_back(Entries.ip(0), PeerPort);
  loseStore();
  // Reads and writes are sent on apart from each other.
  for (int Index = 0; Index < 700; ++Index)
    Open.emplace_back(Entries.ip(0), soak::Entries::ClientPort)
        .send(request(Index % 2 == 0 ? "GET" : "DELETE", jobPath(1),
                      patientHeaders(), ""));
  for (int Round = 0; Round < 5; ++Round, soak::sleepMs(500)) {
    for (Client &Sender : Open)
      Sender.sendAvailable(Garbage);
    for (Client &Sender : Peers)
      Sender.sendAvailable(Dumps);
  }
  expectServedAfterReturnOfStore();
}

// Guards against complete messages on the peer port whose parsed form takes
// many times their bytes.
TEST_F(HeldMemoryTest, SurvivesPeerMessagesWithManySmallValues) {
  constexpr std::size_t MessageBytes = 16'000'000;
  for (const std::string &Body : {listOf("{\"x\":[", "[]", "]}", MessageBytes),
                                  listOf("{\"x\":[", "0", "]}", MessageBytes),
                                  std::string(MessageBytes / 2, '[') +
                                      std::string(MessageBytes / 2, ']')}) {
    Client Sender(Entries.ip(0), PeerPort);
    Sender.send(request("POST", "/cell/v1/mail", "Host: x\r\n", Body));
    EXPECT_FALSE(Sender.receive().empty());
  }
  expectSound();
}

// Guards against limits that hold one by one and exceed the memory together:
// accepted jobs, open bodies on two ports, calls that wait and unread input.
TEST_F(HeldMemoryTest, SurvivesAllCrowdsTogether) {
  for (int Job = 0; Job < 60; ++Job)
    submit(Job, 20'000, Job % 6);
  const std::string Garbage(200'000, 'x');
  std::list<Client> Unread;
  for (int Index = 0; Index < 180; ++Index)
    Unread.emplace_back(Entries.ip(0), PeerPort)
        .send("GET /metrics HTTP/1.1\r\n");
  loseStore();
  const std::string Body =
      listOf(R"({"spec":")" + std::string(3900, 's') + R"(","steps":[)",
             R"({"count":1})", "]}", 7000);
  for (int Job = 0; Job < 400; ++Job) {
    Client &Sender =
        Open.emplace_back(Entries.ip(0), soak::Entries::ClientPort);
    Sender.send(request("POST", jobPath(Job + 100), patientHeaders(), Body));
    Sender.sendAvailable(Garbage);
  }
  occupy(soak::Entries::ClientPort, 600, head("/api/jobs") + chunks(7, 37'000));
  occupy(PeerPort, 12, head("/cell/v1/mail") + chunks(160, 100'000));
  for (Client &Sender : Unread)
    Sender.sendAvailable(Garbage);
  expectServedAfterReturnOfStore();
}

} // namespace
} // namespace apricotwing::intake
