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

/// Kind of the error that \p Call throws; empty if it throws none.
std::optional<ErrorKind> kindOf(const std::function<void()> &Call) {
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

// Guards against a typing error in a submission that silently gives the run a
// default, and against numbers that wrap around.
TEST(RunSpecCodecTest, RejectsEverythingButACorrectSpecification) {
  EXPECT_EQ(decodeRunSpec(Minimal).Tasks, 1U);
  const std::vector<std::string> Bad = {
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
  for (const std::string &Text : Bad)
    EXPECT_EQ(kindOf([&] { (void)decodeRunSpec(Text); }), ErrorKind::BadRequest)
        << Text;
}

RunSpec anySpec() {
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

// Guards against a specification that changes on its way to the shard, and
// against a resubmission that is taken for another run.
TEST(RunSpecCodecTest, SpecificationsAndDigestsSurviveARoundTrip) {
  checkWithFixedSeeds(
      [] {
        const RunSpec Spec = anySpec();
        const RunSpec Back = decodeRunSpec(encodeRunSpec(Spec));
        RC_ASSERT(Back == Spec);
        RunSpec OtherKey = Spec;
        OtherKey.IdempotencyKey = "another";
        RC_ASSERT(runDigestInput(OtherKey) == runDigestInput(Back));
        RunSpec OtherPayload = Spec;
        OtherPayload.Payload += "x";
        RC_ASSERT(runDigestInput(OtherPayload) != runDigestInput(Spec));
      },
      100);
}

// Guards against a digest that depends on the spelling: the order of fields,
// and whether a default is written out.
TEST(RunSpecCodecTest, DigestIgnoresTheSpelling) {
  const std::string Reordered =
      R"({"idempotency_key":"other","tasks":1,"priority":"normal",)"
      R"("resources":{"memory_mib":0,"cpu_millis":1},"kind":"batch"})";
  EXPECT_EQ(runDigestInput(decodeRunSpec(Minimal)),
            runDigestInput(decodeRunSpec(Reordered)));
}

// Guards against bodies that make a decoder crash or throw something that the
// server does not turn into an answer.
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

// Guards against an operator's typing error that is signed as something else.
TEST(ConfigCodecTest, RejectsUnknownOperationsAndFields) {
  const std::vector<std::string> Bad = {
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
  for (const std::string &Text : Bad)
    EXPECT_EQ(kindOf([&] { (void)decodeProposalRequest(Text); }),
              ErrorKind::BadRequest)
        << Text;
}

// Guards against the hash of a key in any answer to an operator.
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

// Guards against a caller that cannot tell "not run" from "unknown", and
// against a message that is lost because it quotes bytes that are not UTF-8.
TEST(ErrorCodecTest, KindOutcomeAndRemedySurvive) {
  const Error Sent(ErrorKind::ConfigConflict, "bad \xFF byte", "read again",
                   Outcome::Unknown);
  const std::string Body = encodeError(Sent, 8);
  const Error Back = decodeError(409, Body);
  EXPECT_EQ(Back.kind(), ErrorKind::ConfigConflict);
  EXPECT_EQ(Back.outcome(), Outcome::Unknown);
  EXPECT_EQ(Back.remedy(), "read again");
  EXPECT_EQ(decodeCurrentVersion(Body), 8U);
  const Error Foreign = decodeError(502, "<html>");
  EXPECT_EQ(Foreign.kind(), ErrorKind::UpstreamFailed);
  EXPECT_EQ(Foreign.outcome(), Outcome::Unknown);
  EXPECT_EQ(decodeCurrentVersion("<html>"), std::nullopt);
}

// Guards against a deletion that arrives as a write of an empty value, and
// against a task report that loses its identity.
TEST(PlatformCodecTest, MessagesSurviveARoundTrip) {
  const Transaction Change{"x", {{"k", 3}}, {{"k", ""}, {"j", std::nullopt}}};
  const Transaction Back = decodeTransaction(encodeTransaction(Change));
  EXPECT_EQ(Back.Writes.at(0).Value, "");
  EXPECT_EQ(Back.Writes.at(1).Value, std::nullopt);
  EXPECT_EQ(Back.Conditions.at(0).Version, 3U);

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
