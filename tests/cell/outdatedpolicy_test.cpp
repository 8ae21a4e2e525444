/// \file
/// Calls at instances that have not received the newest policy.
#include "emulator/emulatedcell.h"

#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace apricotwing::emulator {
namespace {

using namespace std::chrono_literals;
using cell::ClientStatus;

/// Answers by status.
using Answers = std::map<ClientStatus, int>;

class OutdatedPolicyTest : public testing::Test {
protected:
  OutdatedPolicyTest() : Cell(1) {
    Cell.run(2s);
    Late = Cell.leader() == "n0" ? "n1" : "n0";
  }
  ~OutdatedPolicyTest() override {
    for (const std::string &Violation : Cell.workers().violations())
      ADD_FAILURE() << Violation;
  }

  /// Publishes a policy with a further queue.
  void addQueue() {
    std::vector<jobs::Queue> Queues = Cell.queues();
    Queues.push_back(Queues.front());
    Queues.back().Name = "added";
    Queues.back().PathPrefix = "/added/";
    Cell.putQueues(std::move(Queues), 2);
  }

  /// Publishes a policy without the queue "quick".
  void removeQueue() { Cell.putQueues({Cell.queues().front()}, 2); }

  /// Sends a call about a job and counts its answer in the result.
  std::shared_ptr<Answers> call(const std::string &Instance,
                                const std::string &Prefix,
                                const std::string &Key = "key",
                                bool Submit = false) {
    cell::ClientCall Call;
    Call.Host = "cell.example";
    Call.Path = Prefix + JobId;
    Call.Key = Key;
    if (Submit) {
      Call.Verb = cell::ClientVerb::Submit;
      Call.Job.emplace().Steps = {stepOf(1, 500ms)};
    }
    auto Result = std::make_shared<Answers>();
    Cell.node(Instance).serve(std::move(Call),
                              [Result](const cell::ClientAnswer &Answer) {
                                ++(*Result)[Answer.Status];
                              });
    return Result;
  }

  /// Suspends the process of an instance for 4 s, in which \p Change is made.
  /// The responses to its calls in flight are lost meanwhile.
  template <typename Action>
  void pauseDuring(const std::string &Instance, const Action &Change) {
    Cell.store().silenceConnections(Instance, 0);
    Cell.freeze(Instance);
    Change();
    Cell.run(4s);
    Cell.thaw(Instance);
  }

  const std::string JobId = "00000000000000ff";
  EmulatedCell Cell;
  std::string Late; ///< An instance that does not lead.
};

// Guards against 404 for a queue that was added while connections are silent.
TEST_F(OutdatedPolicyTest, RefusesNoAddedQueueWhileConnectionsAreSilent) {
  for (const std::string &Name : Cell.names())
    Cell.store().silenceConnections(Name, 2);
  addQueue();
  Answers Total;
  for (int Step = 0; Step < 100; ++Step) {
    std::vector<std::shared_ptr<Answers>> Open;
    for (const std::string &Name : Cell.names())
      Open.push_back(call(Name, "/added/"));
    Cell.run(50ms);
    for (const auto &Answered : Open)
      for (const auto &[Status, Count] : *Answered)
        Total[Status] += Count;
  }
  EXPECT_EQ(Total[ClientStatus::NoSuchQueue], 0);
  EXPECT_GT(Total[ClientStatus::NoSuchJob], 0);
}

// Guards against 404 for a queue that was added while the process was paused.
TEST_F(OutdatedPolicyTest, RefusesNoAddedQueueAfterAPause) {
  pauseDuring(Late, [this] { addQueue(); });
  const auto Answer = call(Late, "/added/");
  Cell.run(1s);
  EXPECT_EQ(*Answer, (Answers{{ClientStatus::NoSuchJob, 1}}));
}

// Guards against 404 for a queue that was added while the store is refusing.
TEST_F(OutdatedPolicyTest, RefusesNoAddedQueueWithoutTheStore) {
  Cell.store().RefusedCallers = {Late};
  addQueue();
  Cell.run(3s);
  const auto Answer = call(Late, "/added/");
  Cell.run(1s);
  EXPECT_EQ(*Answer, (Answers{{ClientStatus::Unavailable, 1}}));
}

// The same for a store that does not respond at all.
TEST_F(OutdatedPolicyTest, RefusesNoAddedQueueWhileTheStoreIsSilent) {
  Cell.store().Cut = {Late};
  addQueue();
  Cell.run(3s);
  const auto Answer = call(Late, "/added/");
  Cell.run(1s);
  EXPECT_EQ(*Answer, (Answers{{ClientStatus::Unavailable, 1}}));
}

// The same if the store has dropped the history that the instance lacks.
TEST_F(OutdatedPolicyTest, RefusesNoAddedQueueAfterTheHistoryWasDropped) {
  Cell.store().silenceConnections(Late, 0);
  addQueue();
  Cell.store().compact();
  const auto Answer = call(Late, "/added/");
  Cell.run(200ms);
  EXPECT_EQ(*Answer, (Answers{{ClientStatus::NoSuchJob, 1}}));
}

// Guards against 401 for a key that was added meanwhile.
TEST_F(OutdatedPolicyTest, RefusesNoAddedKeyWithoutTheStore) {
  Cell.store().RefusedCallers = {Late};
  Cell.withdrawKeys(2);
  Cell.run(3s);
  const auto Answer = call(Late, "/batch/", "new key");
  Cell.run(1s);
  EXPECT_EQ(*Answer, (Answers{{ClientStatus::Unavailable, 1}}));
}

// Guards against callers that wait for a refusal although the store responds.
TEST_F(OutdatedPolicyTest, RefusesUnknownQueuesAndKeysAtOnce) {
  const auto Queue = call(Late, "/none/");
  const auto Key = call(Late, "/batch/", "none");
  Cell.run(50ms);
  EXPECT_EQ(*Queue, (Answers{{ClientStatus::NoSuchQueue, 1}}));
  EXPECT_EQ(*Key, (Answers{{ClientStatus::UnknownKey, 1}}));
}

// Guards against a watch that waits on one silent connection after the other.
TEST_F(OutdatedPolicyTest, IsInForceInTimeThoughConnectionsFellSilent) {
  for (const std::string &Name : Cell.names())
    Cell.store().silenceConnections(Name, 2);
  addQueue();
  Cell.run(2s);
  for (const std::string &Name : Cell.names())
    EXPECT_EQ(Cell.node(Name).router().policy().Version, 2) << Name;
}

// The same if the store has dropped the history as well.
TEST_F(OutdatedPolicyTest, IsInForceInTimeThoughTheHistoryWasDropped) {
  for (const std::string &Name : Cell.names())
    Cell.store().silenceConnections(Name, 20);
  addQueue();
  Cell.store().compact();
  Cell.run(2s);
  for (const std::string &Name : Cell.names())
    EXPECT_EQ(Cell.node(Name).router().policy().Version, 2) << Name;
}

// Guards against waiting for the store although others have a newer policy.
TEST_F(OutdatedPolicyTest, LearnsOfANewerPolicyFromOtherInstances) {
  for (int Version = 2; Version < 12; ++Version) {
    const std::string Leader = Cell.leader();
    Cell.store().silenceConnections(Leader, 0);
    Cell.putPolicy(Version);
    Cell.run(650ms);
    EXPECT_EQ(Cell.node(Leader).router().policy().Version, Version);
    Cell.run(2350ms);
  }
}

// Guards against a key that was withdrawn while the process was paused.
TEST_F(OutdatedPolicyTest, AcceptsNoWithdrawnKeyAfterAPause) {
  pauseDuring(Late, [this] { Cell.withdrawKeys(2); });
  const auto Answer = call(Late, "/batch/", "key", true);
  Cell.run(1s);
  EXPECT_EQ(*Answer, (Answers{{ClientStatus::UnknownKey, 1}}));
}

// Guards against a key that is accepted although an earlier call is answered by
// the policy without it, when an instance has the store again.
TEST_F(OutdatedPolicyTest, GoesBackToNoOlderPolicyAfterACut) {
  int Served = 0;
  for (int Version = 2; Version < 22; ++Version) {
    Cell.store().Cut = {Late};
    const auto KeyOf = [](int Number) {
      return "key" + std::to_string(Number);
    };
    Cell.putQueuesAndKeys(Cell.queues(), {KeyOf(Version)}, Version);
    Cell.run(3s + Version * 50ms);
    const auto Earlier = call(Late, "/batch/", KeyOf(Version));
    Cell.run(400ms);
    Cell.store().Cut.clear();
    const auto Later = call(Late, "/batch/", KeyOf(Version - 1), true);
    Cell.run(2s);
    const bool IsNewShown = Earlier->contains(ClientStatus::NoSuchJob) ||
                            Earlier->contains(ClientStatus::State);
    const bool IsOldShown = Later->contains(ClientStatus::Accepted);
    EXPECT_FALSE(IsNewShown && IsOldShown) << Version;
    EXPECT_FALSE(Earlier->contains(ClientStatus::UnknownKey)) << Version;
    Served += IsNewShown || IsOldShown ? 1 : 0;
  }
  EXPECT_GT(Served, 0);
}

// Guards against 503 for an earlier call if both policies allow the later one.
TEST_F(OutdatedPolicyTest, AnswersACallOfAnAddedQueueAmongOthers) {
  Cell.store().Latency = 450ms;
  Cell.run(3s);
  addQueue();
  const auto Earlier = call(Late, "/added/");
  Cell.run(300ms);
  const auto Later = call(Late, "/batch/");
  Cell.run(3s);
  EXPECT_EQ(*Earlier, (Answers{{ClientStatus::NoSuchJob, 1}}));
  EXPECT_EQ(*Later, (Answers{{ClientStatus::NoSuchJob, 1}}));
}

// Guards against 429 for jobs of a queue that the leader does not know yet.
TEST_F(OutdatedPolicyTest, AcceptsAJobOfAnAddedQueueThoughTheLeaderIsBehind) {
  Cell.store().silenceConnections(Cell.leader(), 0);
  addQueue();
  Cell.run(300ms);
  const auto Answer = call(Late, "/added/", "key", true);
  Cell.run(1s);
  EXPECT_EQ(*Answer, (Answers{{ClientStatus::Accepted, 1}}));
}

// Guards against telling callers to come back for a queue that was removed.
TEST_F(OutdatedPolicyTest,
       RefusesAJobOfARemovedQueueThoughTheInstanceIsBehind) {
  Cell.store().silenceConnections(Late, 0);
  removeQueue();
  Cell.run(300ms);
  const auto Answer = call(Late, "/quick/", "key", true);
  Cell.run(1s);
  EXPECT_EQ(*Answer, (Answers{{ClientStatus::NoSuchQueue, 1}}));
}

} // namespace
} // namespace apricotwing::emulator
