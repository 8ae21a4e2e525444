#include "core/error.h"
#include "support/fixedseeds.h"
#include "wire/configcodec.h"
#include "wire/errorcodec.h"
#include "wire/instancecodec.h"
#include "wire/peercodec.h"
#include "wire/platformcodec.h"
#include "wire/runcodec.h"

#include <gtest/gtest.h>

#include <functional>

namespace apricotwing {
namespace {

/// Returns the kind of the Error that \p Call throws, or std::nullopt if it
/// throws none.
std::optional<ErrorKind> thrownKind(const std::function<void()> &Call) {
  try {
    Call();
  } catch (const Error &Failure) {
    EXPECT_FALSE(Failure.remedy().empty()) << Failure.what();
    return Failure.kind();
  }
  return std::nullopt;
}

std::string replaced(std::string Text, const std::string &From,
                     const std::string &To) {
  const std::size_t At = Text.find(From);
  EXPECT_NE(At, std::string::npos) << From;
  return Text.replace(At, From.size(), To);
}

const std::string Minimal =
    R"({"kind":"batch","resources":{"cpu_millis":1},"idempotency_key":"k"})";

// Guards against a misspelled field of a submission that is ignored, so that
// the run gets the default, and against numbers that wrap around.
TEST(RunSpecCodecTest, RejectsEverythingButACorrectSpecification) {
  EXPECT_EQ(decodeRunSpec(Minimal).Tasks, 1U);
  const std::vector<std::string> Invalid = {
      "",
      "[]",
      "{",
      Minimal + "x",
      replaced(Minimal, "{\"kind\"", R"({"task":4,"kind")"),
      replaced(Minimal, "\"cpu_millis\":1", R"("cpu_milis":1)"),
      replaced(Minimal, "\"cpu_millis\":1", R"("cpu_millis":-1)"),
      replaced(Minimal, "\"cpu_millis\":1", R"("cpu_millis":1.5)"),
      replaced(Minimal, "\"cpu_millis\":1", R"("cpu_millis":"1")"),
      replaced(Minimal, "\"cpu_millis\":1", R"("cpu_millis":null)"),
      replaced(Minimal, "\"cpu_millis\":1",
               R"("cpu_millis":9223372036854775808)"),
      replaced(Minimal, "\"cpu_millis\":1",
               R"("cpu_millis":18446744073709551617)"),
      replaced(Minimal, "{\"kind\"", R"({"tasks":4294967297,"kind")"),
      replaced(Minimal, "{\"kind\"", R"({"tasks":-1,"kind")"),
      replaced(Minimal, "{\"kind\"", R"({"tasks":0,"kind")"),
      replaced(Minimal, "{\"kind\"", R"({"selector":{"a":1},"kind")"),
      replaced(Minimal, "{\"kind\"", R"({"checkpointable":1,"kind")"),
      replaced(Minimal, "\"batch\"", "\"bach\""),
      replaced(Minimal, ",\"idempotency_key\":\"k\"", ""),
      replaced(Minimal, "\"k\"", "\"\xFF\""),
  };
  for (const std::string &Text : Invalid)
    EXPECT_EQ(thrownKind([&] { (void)decodeRunSpec(Text); }),
              ErrorKind::BadRequest)
        << Text;
}

RunSpec generateSpec() {
  const auto Word = rc::gen::container<std::string>(rc::gen::oneOf(
      rc::gen::inRange<char>(0, 127), rc::gen::just('"'), rc::gen::just('\\')));
  RunSpec Spec;
  Spec.Kind =
      *rc::gen::element(RunKind::Batch, RunKind::Gang, RunKind::Service);
  Spec.Urgency = *rc::gen::element(Priority::Normal, Priority::Urgent);
  Spec.Tasks = *rc::gen::inRange<std::uint32_t>(1, MaxTasksPerRun + 1);
  Spec.PerTask = {*rc::gen::inRange<std::int64_t>(1, MaxCpuMillisPerTask + 1),
                  *rc::gen::inRange<std::int64_t>(0, MaxMemoryMibPerTask + 1),
                  *rc::gen::inRange<std::int64_t>(0, 3)};
  Spec.EstimateSeconds =
      *rc::gen::inRange<std::uint32_t>(1, MaxEstimateSeconds + 1);
  Spec.MaxAttempts = *rc::gen::inRange<std::uint32_t>(1, 101);
  Spec.OnLost = *rc::gen::element(LostPolicy::Restart, LostPolicy::Fail);
  Spec.Checkpointable = *rc::gen::arbitrary<bool>();
  Spec.IdempotencyKey = "k" + (*Word).substr(0, 100);
  Spec.Payload = *Word;
  Spec.Selector[*Word] = *Word;
  return Spec;
}

// Guards against a specification that changes when it is encoded and decoded,
// and against a repeated submission that is treated as a different run.
TEST(RunSpecCodecTest, SpecificationsAndDigestsSurviveARoundTrip) {
  checkWithFixedSeeds(
      [] {
        const RunSpec Spec = generateSpec();
        const RunSpec Decoded = decodeRunSpec(encodeRunSpec(Spec));
        RC_ASSERT(Decoded == Spec);
        RunSpec OtherKey = Spec;
        OtherKey.IdempotencyKey = "another";
        RC_ASSERT(runDigestInput(OtherKey) == runDigestInput(Decoded));
        RunSpec OtherPayload = Spec;
        OtherPayload.Payload += "x";
        RC_ASSERT(runDigestInput(OtherPayload) != runDigestInput(Spec));
      },
      100);
}

// Guards against a digest that depends on the order of the fields or on whether
// a default value is written out.
TEST(RunSpecCodecTest, DigestIgnoresTheSpelling) {
  const std::string Reordered =
      R"({"idempotency_key":"other","tasks":1,"priority":"normal",)"
      R"("resources":{"memory_mib":0,"cpu_millis":1},"kind":"batch"})";
  EXPECT_EQ(runDigestInput(decodeRunSpec(Minimal)),
            runDigestInput(decodeRunSpec(Reordered)));
}

// Guards against an instance list that is not followed any more because one
// entry of a worker or an executor is malformed.
TEST(CodecTest, AMalformedEntryLeavesTheOtherWorkersListed) {
  const ListedWorker Worker{"w", "a:1", "z", "r", {1, 2, 3}, {{"k", "v"}}, {}};
  const ListedExecutor Executor{"e", "u", "a:2", "z"};
  const std::string Nested =
      std::string(100'000, '[') + std::string(100'000, ']');
  for (const std::string &Odd :
       {std::string("7"), std::string("{}"), Nested,
        std::string(R"({"id":"x","cpu_millis":18446744073709551615})"),
        R"({"id":)" + Nested + "}"}) {
    std::string List = encodeInstanceSnapshot({{}, {Worker}, {Executor}});
    for (const std::string Field : {R"("workers":[)", R"("executors":[)"})
      List.insert(List.find(Field) + Field.size(), Odd + ",");
    const InstanceSnapshot Snapshot = decodeInstanceSnapshot(List);
    ASSERT_EQ(Snapshot.Workers.size(), 1U);
    EXPECT_EQ(Snapshot.Workers[0].Id, "w");
    ASSERT_EQ(Snapshot.Executors.size(), 1U);
    EXPECT_EQ(Snapshot.Executors[0].Id, "e");
    EXPECT_EQ(Snapshot.SkippedEntries, 2U);
  }
}

// Guards against requests whose parsed form takes many times their bytes.
TEST(CodecTest, RejectsRequestsWithTooManyValues) {
  constexpr std::size_t TooMany = 100'000;
  std::string Text = R"({"payload":[0)";
  for (std::size_t Index = 0; Index < TooMany; ++Index)
    Text += ",0";
  Text += "]}";
  for (const std::string &Request : {Text, std::string(2 * TooMany, '[')}) {
    EXPECT_THROW(decodeRunSpec(Request), Error);
    EXPECT_THROW(decodeProposalRequest(Request), Error);
  }
}

// Guards against damaged bodies that make a decoder crash or throw an exception
// that the server does not convert to an answer.
TEST(CodecTest, DamagedBodiesOnlyThrowErrors) {
  const RunSpec Spec = decodeRunSpec(Minimal);
  const ListedWorker Worker{"w", "a:1", "z", "r", {1, 2, 3}, {{"k", "v"}}, {}};
  const std::vector<std::pair<std::string, std::function<void(std::string)>>>
      Decoders = {
          {encodeRunSpec(Spec), decodeRunSpec},
          {encodeRunPage(
               {{{RunRecord{"r", "t", "s", Spec, {}, 0, 0, 0, ""}, 1, "full"}},
                true}),
           decodeRunPage},
          {encodeProposalRequest({7,
                                  {SetTeam{"t", {1, {{1, 2, 3}, 4}}},
                                   AddKey{"k", {"t", std::string(64, 'a')}},
                                   SetPolicy{RunKind::Gang, {3}}}}),
           decodeProposalRequest},
          {encodeConfigView(applyChanges({}, {SetTeam{"t", {}}})),
           decodeConfigView},
          {encodeTransaction({"x", {{"k", 1}}, {{"k", "v"}, {"j", {}}}}),
           decodeTransaction},
          {encodeInstanceSnapshot({{}, {Worker}, {}}), decodeInstanceSnapshot},
          {encodeWorkers({{Worker, {1, 2, 3}, 4, true, true, 5}}),
           decodeWorkers},
          {encodeLeaseAnswer({5, {{{{"r", 1}, 2}, TaskState::Lost, -1, {}}}}),
           decodeLeaseAnswer},
          {encodeTaskStart({"s", 3, {{"r", 1}, 2}, {1, 2, 3}, "p", true}),
           decodeTaskStart},
          {encodePromise({true, Duration(6000), 9}), decodePromise},
      };
  checkWithFixedSeeds(
      [&] {
        const auto &[Text, Decode] =
            Decoders[*rc::gen::inRange<std::size_t>(0, Decoders.size())];
        Decode(Text);
        std::string Damaged = Text;
        const int Edits = *rc::gen::inRange(1, 4);
        for (int Edit = 0; Edit < Edits; ++Edit)
          Damaged[*rc::gen::inRange<std::size_t>(0, Damaged.size())] =
              *rc::gen::oneOf(rc::gen::arbitrary<char>(),
                              rc::gen::element('{', '[', '"', '-', '9', '.'));
        try {
          Decode(Damaged);
        } catch (const Error &Failure) {
          RC_ASSERT(Failure.kind() == ErrorKind::BadRequest);
        }
      },
      1000);
}

// Guards against a misspelled change of an operator that is accepted with
// another meaning and then signed.
TEST(ConfigCodecTest, RejectsUnknownOperationsAndFields) {
  const std::vector<std::string> Invalid = {
      R"({"base":1})",
      R"({"base":-1,"changes":[]})",
      R"({"base":1,"changes":[],"force":true})",
      R"({"base":1,"changes":[{"op":"set_teams","team":"t"}]})",
      R"({"base":1,"changes":[{"op":"remove_team","team":"t","share":1}]})",
      R"({"base":1,"changes":[{"op":"set_team","team":"t","share":1}]})",
      R"({"base":1,"changes":[{"op":"set_upstream","upstream":"u","slots":1,
          "connections":4294967296}]})",
      R"({"base":1,"changes":[{"op":"set_team","team":"t","share":1,
          "limit":{"cpu":1}}]})",
      R"({"base":1,"changes":[{"op":"add_key","team":"t","key":"k"}]})",
      R"({"base":1,"changes":{}})"};
  for (const std::string &Text : Invalid)
    EXPECT_EQ(thrownKind([&] { (void)decodeProposalRequest(Text); }),
              ErrorKind::BadRequest)
        << Text;
}

// Guards against an answer to an operator that contains the hash of a key.
TEST(ConfigCodecTest, AnswersCarryNoKeyHashes) {
  const std::string Hash(64, 'a');
  const std::vector<ConfigChange> Changes = {SetTeam{"t", {}},
                                             AddKey{"k", {"t", Hash}}};
  const std::string View = encodeConfigView(applyChanges({}, Changes));
  const std::string Proposals =
      encodeProposals({{"p", 0, Changes, "a", "", {}}});
  const std::string History = encodeHistory({{1, "p", "a", "b", Changes}});
  for (const std::string &Answer :
       {View, Proposals, History, encodeChange(Changes[1])})
    EXPECT_EQ(Answer.find(Hash), std::string::npos) << Answer;
  EXPECT_EQ(decodeConfigView(View).Keys.at("k").Team, "t");
  EXPECT_EQ(decodeProposals(Proposals).at(0).Changes.size(), 2U);
  EXPECT_EQ(decodeHistory(History).at(0).SignedBy, "b");
  const ProposalRequest Sent =
      decodeProposalRequest(encodeProposalRequest({3, Changes}));
  EXPECT_EQ(std::get<AddKey>(Sent.Changes.at(1)).Value.Sha256, Hash);
}

// Guards against an error that loses its outcome, so that the client cannot
// distinguish "not run" from "unknown", and against an error that cannot be
// encoded because its message contains bytes that are not UTF-8.
TEST(ErrorCodecTest, KindOutcomeAndRemedySurvive) {
  const Error Sent(ErrorKind::ConfigConflict, "bad \xFF byte", "read again",
                   Outcome::Unknown);
  const std::string Body = encodeError(Sent, 8);
  const Error Decoded = decodeError(409, Body);
  EXPECT_EQ(Decoded.kind(), ErrorKind::ConfigConflict);
  EXPECT_EQ(Decoded.outcome(), Outcome::Unknown);
  EXPECT_EQ(Decoded.remedy(), "read again");
  EXPECT_EQ(decodeCurrentVersion(Body), 8U);
  const Error Foreign = decodeError(502, "<html>");
  EXPECT_EQ(Foreign.kind(), ErrorKind::UpstreamFailed);
  EXPECT_EQ(Foreign.outcome(), Outcome::Unknown);
  EXPECT_EQ(decodeCurrentVersion("<html>"), std::nullopt);
}

// Guards against a deletion that is decoded as a write of an empty value, and
// against a task report that loses its attempt id.
TEST(PlatformCodecTest, MessagesSurviveARoundTrip) {
  const Transaction Change{"x", {{"k", 3}}, {{"k", ""}, {"j", std::nullopt}}};
  const Transaction Decoded = decodeTransaction(encodeTransaction(Change));
  EXPECT_EQ(Decoded.Writes.at(0).Value, "");
  EXPECT_EQ(Decoded.Writes.at(1).Value, std::nullopt);
  EXPECT_EQ(Decoded.Conditions.at(0).Version, 3U);

  const AttemptId Id{{"r/with/slashes", 7}, 2};
  const LeaseRenewal Renewal =
      decodeLeaseRenewal(encodeLeaseRenewal({"s", 4, 1234, {Id}}));
  EXPECT_EQ(Renewal.Acknowledged.at(0), Id);
  EXPECT_EQ(Renewal.DeadlineMs, 1234);
  const LeaseAnswer Answer = decodeLeaseAnswer(
      encodeLeaseAnswer({99, {{Id, TaskState::Failed, -3, {1, 2, 3}}}}));
  EXPECT_EQ(Answer.Tasks.at(0).Id, Id);
  EXPECT_EQ(Answer.Tasks.at(0).ExitCode, -3);
  EXPECT_EQ(Answer.Tasks.at(0).Used, (Resources{1, 2, 3}));
  const TaskStop Stop =
      decodeTaskStop(encodeTaskStop({"s", 4, Id, StopMode::Checkpoint}));
  EXPECT_EQ(Stop.Mode, StopMode::Checkpoint);
  const PeerPromise Promise =
      decodePromise(encodePromise({false, Duration(6000), 12}));
  EXPECT_FALSE(Promise.StoreReachable);
  EXPECT_EQ(Promise.PromisedFor, Duration(6000));
}

} // namespace
} // namespace apricotwing
