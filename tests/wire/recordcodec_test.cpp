#include "core/error.h"
#include "wire/jsonrecordcodec.h"

#include <gtest/gtest.h>

namespace apricotwing {
namespace {

RunRecord sampleRun() {
  RunRecord Run;
  Run.Id = "r-1";
  Run.Team = "profiles";
  Run.Shard = "cell-0";
  Run.Spec.Kind = RunKind::Gang;
  Run.Spec.Urgency = Priority::Urgent;
  Run.Spec.Tasks = 4;
  Run.Spec.PerTask = {1000, 512, 1};
  Run.Spec.Selector = {{"wood", "ash"}};
  Run.Spec.OnLost = LostPolicy::Fail;
  Run.Spec.Checkpointable = true;
  Run.Spec.IdempotencyKey = "key";
  Run.Spec.Payload = "quote \" and \xC3\xA4 and \n";
  Run.State = RunState::Running;
  Run.Running = 2;
  Run.Succeeded = 1;
  Run.Failed = 1;
  Run.Reason = "because";
  return Run;
}

std::vector<ConfigChange> sampleChanges() {
  const std::string Hash(64, 'a');
  return {SetTeam{"profiles", {3, {{64000, 2048, 2}, 9}}},
          SetTeam{"sorting", {1, {}}},
          AddKey{"k1", {"profiles", Hash}},
          SetLabel{"w1", "wood", "ash"},
          SetLabel{"w1", "fast", "yes"},
          RemoveLabel{"w1", "fast"},
          SetUpstream{"planning", {8, 64}},
          SetUpstream{"old", {8, 64}},
          RemoveUpstream{"old"},
          SetPolicy{RunKind::Service, {30}},
          DrainWorker{"w2"},
          DrainWorker{"w3"},
          UndrainWorker{"w3"},
          RemoveTeam{"sorting"},
          AddKey{"k2", {"profiles", std::string(64, 'b')}},
          RevokeKey{"k2"}};
}

/// Encodes records in which each field differs from its default value.
class RecordCodecTest : public testing::Test {
protected:
  JsonRecordCodec Codec;
};

// Guards against a field that is encoded but not decoded, or the reverse.
// Encoding a decoded record must give the same text again.
TEST_F(RecordCodecTest, EveryRecordSurvivesARoundTrip) {
  const SessionRecord Session{{"i1", 7},
                              12,
                              "127.0.0.1:1",
                              "127.0.0.1:2",
                              "z1",
                              SessionState::Leaving,
                              {{"i2", 3}, {"i3", UINT64_MAX}}};
  const std::string SessionText = Codec.encode(Session);
  const SessionRecord DecodedSession = Codec.decodeSession(SessionText);
  EXPECT_EQ(DecodedSession.Id, Session.Id);
  EXPECT_EQ(DecodedSession.Known, Session.Known);
  EXPECT_EQ(DecodedSession.State, SessionState::Leaving);
  EXPECT_EQ(Codec.encode(DecodedSession), SessionText);

  EXPECT_EQ(Codec.decodeEpoch(Codec.encode(EpochRecord{42})).Next, 42U);

  const std::string ShardText = Codec.encode(ShardRecord{{"i1", 7}, 5, 99, 80});
  EXPECT_EQ(Codec.encode(Codec.decodeShard(ShardText)), ShardText);
  EXPECT_EQ(Codec.decodeShard(ShardText).SnapshotSequence, 80U);

  const PoolRecord Pool{{{"e1", 8}, {"e2", 8}}, {{"i1@7", {{"e1", 3}}}}};
  const PoolRecord DecodedPool = Codec.decodePool(Codec.encode(Pool));
  EXPECT_EQ(DecodedPool.Capacity, Pool.Capacity);
  EXPECT_EQ(DecodedPool.Grants, Pool.Grants);

  const IdempotencyRecord Idempotency =
      Codec.decodeIdempotency(Codec.encode(IdempotencyRecord{"r-1", "d"}));
  EXPECT_EQ(Idempotency.Run, "r-1");
  EXPECT_EQ(Idempotency.Digest, "d");

  const std::string RunText = Codec.encode(sampleRun());
  EXPECT_EQ(Codec.decodeRun(RunText).Spec, sampleRun().Spec);
  EXPECT_EQ(Codec.encode(Codec.decodeRun(RunText)), RunText);
}

// Guards against a change or a configuration that loses a field between the
// co-owner who proposes it and the one who signs it.
TEST_F(RecordCodecTest, ConfigurationsSurviveARoundTrip) {
  const Config Document = applyChanges({}, sampleChanges());
  EXPECT_EQ(Codec.decodeConfig(Codec.encode(Document)), Document);

  const ProposalRecord Proposal{"p1",    6,        sampleChanges(),
                                "first", "second", ProposalState::Rejected};
  const ProposalRecord DecodedProposal =
      Codec.decodeProposal(Codec.encode(Proposal));
  EXPECT_EQ(applyChanges({}, DecodedProposal.Changes), Document);
  EXPECT_EQ(Codec.encode(DecodedProposal), Codec.encode(Proposal));

  const HistoryRecord History{7, "p1", "first", "second", sampleChanges()};
  const HistoryRecord DecodedHistory =
      Codec.decodeHistory(Codec.encode(History));
  EXPECT_EQ(applyChanges({}, DecodedHistory.Changes), Document);
  EXPECT_EQ(Codec.encode(DecodedHistory), Codec.encode(History));
}

// Guards against a new shard owner that recovers a state other than the stored
// one.
TEST_F(RecordCodecTest, JournalAndSnapshotSurviveARoundTrip) {
  const AttemptId Id{{"r-1", 3}, 2};
  const JournalRecord Journal{
      5,
      {RunAdmitted{sampleRun()}, TaskStarted{Id, "w1", {1, 2, 3}, true},
       TaskStopping{Id, StopReason::Preempted},
       TaskEnded{Id, TaskState::Lost, -9},
       RunChanged{"r-1", RunState::Unschedulable, "no worker"},
       RunRetired{"r-1"}}};
  const std::string JournalText = Codec.encode(Journal);
  const JournalRecord DecodedJournal = Codec.decodeJournal(JournalText);
  ASSERT_EQ(DecodedJournal.Events.size(), Journal.Events.size());
  EXPECT_EQ(Codec.encode(DecodedJournal), JournalText);
  const auto &Started = std::get<TaskStarted>(DecodedJournal.Events[1]);
  EXPECT_EQ(Started.Id, Id);
  EXPECT_EQ(Started.Reserved, (Resources{1, 2, 3}));
  EXPECT_TRUE(Started.FromCheckpoint);
  EXPECT_EQ(std::get<TaskEnded>(DecodedJournal.Events[3]).ExitCode, -9);

  const TaskSnapshot Full{TaskState::Stopping, 4, 2, "w1", {7, 8, 9}, true,
                          StopReason::Drained};
  const ShardSnapshot Snapshot{17, {{sampleRun(), {Full, TaskSnapshot{}}}}};
  const std::string SnapshotText = Codec.encode(Snapshot);
  const ShardSnapshot DecodedSnapshot = Codec.decodeSnapshot(SnapshotText);
  EXPECT_EQ(Codec.encode(DecodedSnapshot), SnapshotText);
  const TaskSnapshot &DecodedTask = DecodedSnapshot.Runs.at(0).Tasks.at(0);
  EXPECT_EQ(DecodedTask.Worker, "w1");
  EXPECT_EQ(DecodedTask.Failures, 2U);
  EXPECT_EQ(DecodedTask.Stop, StopReason::Drained);
  EXPECT_TRUE(DecodedTask.HasCheckpoint);
}

// Guards against accepting a damaged row. A truncated text or a missing field
// must give an error, never a crash.
TEST_F(RecordCodecTest, DamagedTextIsRejected) {
  const std::string Text = Codec.encode(
      JournalRecord{5, {TaskStarted{{{"r-1", 3}, 2}, "w1", {1, 2, 3}, true}}});
  const auto IsRejected = [this](const std::string &Damaged) {
    try {
      (void)Codec.decodeJournal(Damaged);
    } catch (const Error &Failure) {
      return Failure.kind() == ErrorKind::Internal;
    }
    return false;
  };
  for (std::size_t Length = 0; Length < Text.size(); ++Length)
    EXPECT_TRUE(IsRejected(Text.substr(0, Length))) << Length;
  for (const char *Field : {"attempt", "event", "worker", "shard_epoch"}) {
    std::string Renamed = Text;
    Renamed.replace(Renamed.find('"' + std::string(Field) + '"') + 1, 1, "X");
    EXPECT_TRUE(IsRejected(Renamed)) << Renamed;
  }
  EXPECT_TRUE(IsRejected(R"({"shard_epoch":-1,"events":[]})"));
  EXPECT_TRUE(IsRejected(R"({"shard_epoch":1.5,"events":[]})"));
  EXPECT_TRUE(IsRejected("[]"));
}

// Guards against an old version that, during a rolling update, cannot read the
// rows of the new version.
TEST_F(RecordCodecTest, FieldsOfANewerVersionAreIgnored) {
  EXPECT_EQ(Codec.decodeEpoch(R"({"next":3,"later":[1]})").Next, 3U);
}

} // namespace
} // namespace apricotwing
