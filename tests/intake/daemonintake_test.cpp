#include "intake/hostileclient.h"
#include "process/cluster.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <iostream>
#include <list>
#include <thread>
#include <vector>

namespace apricotwing::intake {
namespace {

/// The memory of the smallest machine of the deployments.
constexpr int MemoryMb = 120;

/// Time for the process to read what the clients have sent.
constexpr auto SettleTime = std::chrono::seconds(3);

/// One daemon with its stand-ins.
class DaemonIntakeTest : public testing::Test {
protected:
  DaemonIntakeTest() : Target(1) {}

  void SetUp() override {
    Target.addTeam();
    std::cout << "at first: " << peakMemoryMb(Target.pid(0)) << " MB\n";
  }

  static std::string ipOf(const std::string &Address) {
    return Address.substr(0, Address.find(':'));
  }

  static Client &connect(std::list<Client> &To, const std::string &Address) {
    return To.emplace_back(ipOf(Address),
                           std::stoi(Address.substr(Address.find(':') + 1)));
  }

  /// Sends \p Text on \p Count connections of their own, which stay open.
  void occupy(const std::string &Address, int Count, const std::string &Text) {
    for (int Index = 0; Index < Count; ++Index)
      connect(Open, Address).send(Text);
    std::this_thread::sleep_for(SettleTime);
  }

  /// Checks that the daemon is within the memory of its machine and serves an
  /// ordinary request.
  void expectSound() {
    const int Memory = peakMemoryMb(Target.pid(0));
    const int Unread = unreadMb(ipOf(Target.address(0)));
    std::cout << "afterwards: " << Memory << " MB, " << Unread << " MB unread, "
              << openFiles(Target.pid(0)) << " descriptors\n";
    EXPECT_GT(Memory, 0) << "the process has ended";
    EXPECT_LE(Memory + Unread, MemoryMb);
    process::awaitCondition("an ordinary request", [this] {
      return Target.request(0, "ordinary").Outcome == "done";
    });
  }

  process::Cluster Target;
  std::list<Client> Open;
};

// Guards against the cost of chunks on the daemon's port for callers.
TEST_F(DaemonIntakeTest, SurvivesUnfinishedBodiesInTinyChunks) {
  occupy(Target.address(0), 60, head("/v1/runs") + chunks(190'000, 1));
  expectSound();
}

// Guards against open bodies whose total size is unlimited.
TEST_F(DaemonIntakeTest, SurvivesUnfinishedBodiesInLargeChunks) {
  occupy(Target.address(0), 600, head("/v1/runs") + chunks(27, 37'000));
  expectSound();
}

// Guards against the same on the port for other daemons.
TEST_F(DaemonIntakeTest, SurvivesUnfinishedBodiesOnThePeerPort) {
  occupy(Target.peerAddress(0), 60, head("/v1/runs") + chunks(190'000, 1));
  occupy(Target.peerAddress(0), 600, head("/v1/runs") + chunks(27, 37'000));
  expectSound();
}

// Guards against connections that nobody else can get one beside.
TEST_F(DaemonIntakeTest, SurvivesConnectionsWithHalfAHeader) {
  occupy(Target.address(0), 3000, "GET /readyz HTTP/1.1\r\nHost: ");
  expectSound();
}

// Guards against bodies whose parsed form takes many times their bytes.
TEST_F(DaemonIntakeTest, SurvivesBodiesWithManySmallValues) {
  constexpr std::size_t BodyBytes = 1'000'000;
  const std::string Headers = "Host: x\r\nAuthorization: Bearer " +
                              process::Cluster::teamKey() + "\r\n";
  for (const std::string &Body :
       {listOf("{\"payload\":[", "[]", "]}", BodyBytes),
        listOf("{\"payload\":[", "0", "]}", BodyBytes)})
    for (int Round = 0; Round < 3; ++Round) {
      std::list<Client> Senders;
      for (int Sender = 0; Sender < 8; ++Sender)
        connect(Senders, Target.address(0))
            .send(request("POST", "/v1/runs", Headers, Body));
      for (Client &Sender : Senders)
        EXPECT_FALSE(Sender.receive().empty());
    }
  expectSound();
}

// Guards against bodies of interactive requests that wait for their upstream.
TEST_F(DaemonIntakeTest, SurvivesLargeRequestsThatWait) {
  const std::string Headers = "Host: x\r\nAuthorization: Bearer " +
                              process::Cluster::teamKey() +
                              "\r\nApricotwing-Deadline-Ms: 3000\r\n";
  occupy(Target.address(0), 300,
         request("POST", "/v1/request/planning", Headers,
                 std::string(1'000'000, 'x')));
  expectSound();
}

// Guards against accepted runs whose tasks take more memory than a shard's
// owner has, and than each owner after it has.
TEST_F(DaemonIntakeTest, SurvivesAcceptedRunsWithManyTasks) {
  const std::size_t Next = Target.startDaemon();
  process::awaitCondition("both members known", [&] {
    const nlohmann::json State = Target.state(Next);
    return State.is_object() && State["ready"] == true &&
           State["members"].size() == 2;
  });
  constexpr int Runs = 60;
  std::vector<RunId> Accepted;
  Accepted.reserve(Runs);
  for (int Index = 0; Index < Runs; ++Index)
    Accepted.push_back(
        Target.submit(0, process::runSpec(std::to_string(Index), 100'000, -1)));
  std::this_thread::sleep_for(SettleTime);
  expectSound();
  Target.killDaemon(0);
  EXPECT_EQ(Target.shardOwner(), Next);
  process::awaitCondition("the next owner knows the runs", [&] {
    return std::all_of(Accepted.begin(), Accepted.end(), [&](const RunId &Run) {
      return Target.view(Next, Run).has_value();
    });
  });
  std::this_thread::sleep_for(SettleTime);
  const int Memory = peakMemoryMb(Target.pid(Next));
  std::cout << "the next process: " << Memory << " MB\n";
  EXPECT_GT(Memory, 0) << "the process has ended";
  EXPECT_LE(Memory, MemoryMb);
}

} // namespace
} // namespace apricotwing::intake
