#include "cell/leaderchannel.h"

#include "cell/codec.h"
#include "emulator/virtualtime.h"

#include <gtest/gtest.h>

#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace apricotwing::cell {
namespace {

using namespace std::chrono_literals;

/// Keeps each posted batch until the test replies to it.
class ManualTransport final : public PeerTransport {
public:
  struct Post {
    std::string Address;
    CallBatch Batch;
    std::function<void(PeerResult)> Callback;
  };

  void post(const std::string &Address, std::string Body, Duration,
            std::function<void(PeerResult)> Callback) override {
    Posts.push_back({Address, std::get<CallBatch>(*decodePeerMessage(Body)),
                     std::move(Callback)});
  }

  void reply(std::size_t Index, const CallBatchReply &Reply) {
    Posts.at(Index).Callback({encode(Reply), false});
  }

  std::vector<Post> Posts;
};

LeaderRecord leaderOf(std::int64_t Term) {
  LeaderRecord Record;
  Record.Term = Term;
  Record.Process = "p" + std::to_string(Term);
  Record.Instance = {"n" + std::to_string(Term), "a" + std::to_string(Term),
                     "zone", 1};
  return Record;
}

class LeaderChannelTest : public testing::Test {
protected:
  LeaderChannelTest()
      : Channel(Transport, Time, 1, "sender",
                {[this](const SubmitAnswer &Answer) {
                   Submitted.push_back(Answer);
                   Channel.drop(Answer.Tag);
                 },
                 [this](const QueryAnswer &Answer) {
                   Answered.push_back(Answer);
                   Channel.drop(Answer.Tag);
                 }}) {}

  void run(Duration Length) {
    const TimePoint Until = Time.now() + Length;
    while (Time.now() < Until) {
      Channel.pump();
      Time.advanceTo(Time.now() + 1ms);
    }
  }

  void submit(std::uint64_t Tag) {
    Submission Job{Tag, {}};
    Job.Job.Id = std::to_string(Tag);
    Channel.submit(std::move(Job));
  }

  emulator::VirtualTime Time;
  ManualTransport Transport;
  std::vector<SubmitAnswer> Submitted;
  std::vector<QueryAnswer> Answered;
  LeaderChannel Channel;
};

// Guards against urgent calls that wait for an interval although the leader is
// idle.
TEST_F(LeaderChannelTest, SendsAtOnceWhileIdle) {
  Channel.setLeader(leaderOf(1));
  run(100ms);
  submit(1);
  Channel.pump();
  ASSERT_EQ(Transport.Posts.size(), 1U);
  EXPECT_EQ(Transport.Posts[0].Address, "a1");
  EXPECT_EQ(Transport.Posts[0].Batch.Shard, 1);
  Transport.reply(0, {BatchOutcome::Answered, {{1}}, {}});
  EXPECT_EQ(Submitted.size(), 1U);
  submit(2);
  Channel.pump();
  EXPECT_EQ(Transport.Posts.size(), 2U);
}

// Guards against a message for each call while many calls arrive.
TEST_F(LeaderChannelTest, SendsCallsTogetherUnderLoad) {
  Channel.setLeader(leaderOf(1));
  for (std::uint64_t Tag = 1; Tag <= 100; ++Tag) {
    submit(Tag);
    run(1ms);
  }
  EXPECT_LE(Transport.Posts.size(), 4U);
  std::size_t Sent = 0;
  for (const auto &Post : Transport.Posts)
    Sent += Post.Batch.Submissions.size();
  EXPECT_LE(Sent, 100U);
}

// Guards against a call about a job's state that waits until other jobs are
// stored, which takes long with a slow store.
TEST_F(LeaderChannelTest, ReadsDoNotWaitForWrites) {
  Channel.setLeader(leaderOf(1));
  for (std::uint64_t Tag = 1; Tag <= 4; ++Tag) {
    submit(Tag);
    run(20ms);
  }
  Channel.query({9, QueryKind::State, "job"});
  Channel.pump();
  EXPECT_EQ(Transport.Posts.back().Batch.Queries.size(), 1U);
}

// Guards against a caller that waits for a leader that has been replaced.
TEST_F(LeaderChannelTest, SendsOpenCallsToTheNextLeader) {
  Channel.setLeader(leaderOf(1));
  submit(1);
  run(10ms);
  Channel.setLeader(leaderOf(2));
  run(10ms);
  ASSERT_EQ(Transport.Posts.size(), 2U);
  EXPECT_EQ(Transport.Posts[1].Address, "a2");
  EXPECT_EQ(Transport.Posts[1].Batch.Submissions.size(), 1U);
}

// Guards against a refusal that is passed on although the next leader has
// accepted the job: the caller would be told that it never runs.
TEST_F(LeaderChannelTest, IgnoresALateRefusalOfAnEarlierLeader) {
  Channel.setLeader(leaderOf(1));
  submit(1);
  run(10ms);
  Channel.setLeader(leaderOf(2));
  run(10ms);
  Transport.reply(0,
                  {BatchOutcome::Answered, {{1, SubmitResult::Busy, 500}}, {}});
  EXPECT_TRUE(Submitted.empty());
  Transport.reply(1, {BatchOutcome::Answered, {{1}}, {}});
  ASSERT_EQ(Submitted.size(), 1U);
  EXPECT_EQ(Submitted[0].Result, SubmitResult::Accepted);
}

// Guards against an answer "outcome unknown" for a job that no leader can have
// received: the caller could not tell whether to hand it in again.
TEST_F(LeaderChannelTest, KnowsThatACallHasReachedNoLeader) {
  Channel.setLeader(leaderOf(1));
  submit(1);
  EXPECT_FALSE(Channel.wasSent(1));
  run(10ms);
  EXPECT_TRUE(Channel.wasSent(1));
  Transport.reply(0, {BatchOutcome::NotLeader, {}, {}});
  EXPECT_FALSE(Channel.wasSent(1));
  EXPECT_TRUE(Channel.needsLeader());
  Channel.setLeader(leaderOf(2));
  run(10ms);
  ASSERT_EQ(Transport.Posts.size(), 2U);
  Transport.Posts[1].Callback({std::nullopt, true});
  EXPECT_FALSE(Channel.wasSent(1));
  run(50ms);
  ASSERT_EQ(Transport.Posts.size(), 3U);
  Transport.Posts[2].Callback({});
  EXPECT_TRUE(Channel.wasSent(1));
}

TEST_F(LeaderChannelTest, RepeatsACallThatWasNotAnswered) {
  Channel.setLeader(leaderOf(1));
  Channel.query({1, QueryKind::State, "one"});
  Channel.query({2, QueryKind::State, "two"});
  run(10ms);
  Transport.reply(0, {BatchOutcome::Answered, {}, {{2}}});
  run(20ms);
  ASSERT_EQ(Transport.Posts.size(), 2U);
  ASSERT_EQ(Transport.Posts[1].Batch.Queries.size(), 1U);
  EXPECT_EQ(Transport.Posts[1].Batch.Queries[0].Tag, 1U);
}

// Guards against calls that wait for the timeout of a dead leader without
// looking for the next one.
TEST_F(LeaderChannelTest, LooksForTheLeaderWhenABatchIsOverdue) {
  Channel.setLeader(leaderOf(1));
  EXPECT_FALSE(Channel.needsLeader());
  submit(1);
  run(10ms);
  EXPECT_FALSE(Channel.needsLeader());
  run(400ms);
  EXPECT_TRUE(Channel.needsLeader());
}

} // namespace
} // namespace apricotwing::cell
