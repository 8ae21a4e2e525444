#include "cell/codec.h"

#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace apricotwing::cell {
namespace {

// Guards against stored crashes of the former version that are not read.
TEST(CodecTest, ReadsCrashesOfTheFormerFormat) {
  jobs::JobProgress Progress;
  Progress.Steps.resize(1);
  Progress.Steps[0].Crashes[0] = {
      {{"w", 5}, 2, jobs::WorkerLoss::ProcessEnded, true, true}};
  std::string Text = encode(Progress);
  EXPECT_EQ(decodeProgress(Text), Progress);
  const std::string Flags = "\"process_ended\",true,true]";
  const std::size_t At = Text.find(Flags);
  ASSERT_NE(At, std::string::npos) << Text;
  Text.replace(At, Flags.size(), "\"process_ended\",true]");
  Progress.Steps[0].Crashes[0][0].Witnessed = false;
  EXPECT_EQ(decodeProgress(Text), Progress);
}

// Guards against placements of the former version taken for confirmed ones.
TEST(CodecTest, ReadsPlacementsOfTheFormerFormat) {
  jobs::JobProgress Progress;
  Progress.Steps.resize(1);
  Progress.Steps[0].Placed[0] = {{"w", 5}, 2, true};
  std::string Text = encode(Progress);
  EXPECT_EQ(decodeProgress(Text), Progress);
  const std::string Placed = "[[\"w\",5],2,true]";
  const std::size_t At = Text.find(Placed);
  ASSERT_NE(At, std::string::npos) << Text;
  Text.replace(At, Placed.size(), "[[\"w\",5],2]");
  Progress.Steps[0].Placed[0].Confirmed = false;
  EXPECT_EQ(decodeProgress(Text), Progress);
}

// Guards against rows of workers that one version stores and the other can't
// read during an update.
TEST(CodecTest, ReadsRosterRowsOfTheFormerFormat) {
  RosterEntry Entry{{"w", 5}, "address", "zone", {}, ShardTime{2, 700}};
  const auto Read = [](const std::string &Text) {
    const auto Result = decodeRoster(Text);
    return Result && Result->size() == 1 ? Result->front() : RosterEntry{};
  };
  const std::string Text = encode(std::vector{Entry});
  EXPECT_EQ(Read(Text).FormerLeaseEnd, Entry.FormerLeaseEnd);
  EXPECT_EQ(Read(Text).LeaseEnd, std::nullopt);
  // The former version takes the fourth element for the end of the lease, and
  // compares its epoch with that of its own clock, which is never 0.
  EXPECT_NE(Text.find(R"("address","zone",[0,0],[2,700]])"), std::string::npos)
      << Text;
  const RosterEntry Former = Read(R"([[["w",5],"address","zone",[2,600]]])");
  EXPECT_EQ(Former.LeaseEnd, (ShardTime{2, 600}));
  EXPECT_EQ(Former.FormerLeaseEnd, std::nullopt);
  EXPECT_EQ(Former.UnconfirmedStarts, std::nullopt);
  Entry.LeaseEnd = ShardTime{2, 600};
  Entry.UnconfirmedStarts = {{{"task", 3, 100}}};
  const RosterEntry Frozen = Read(encode(std::vector{Entry}));
  EXPECT_EQ(Frozen.LeaseEnd, Entry.LeaseEnd);
  EXPECT_EQ(Frozen.FormerLeaseEnd, Entry.FormerLeaseEnd);
  EXPECT_EQ(Frozen.UnconfirmedStarts, Entry.UnconfirmedStarts);
  Entry.UnconfirmedStarts->clear();
  EXPECT_EQ(Read(encode(std::vector{Entry})).UnconfirmedStarts,
            Entry.UnconfirmedStarts);
}

// Guards against starts that are taken for confirmed because an instance of the
// former version does not tell.
TEST(CodecTest, ReadsMessagesWithoutUnconfirmedStarts) {
  const auto Decode = [](const Envelope &Message) {
    const auto Decoded = decodePeerMessage(encode(Message));
    return Decoded && std::holds_alternative<Envelope>(*Decoded)
               ? std::get<Envelope>(*Decoded)
               : Envelope{};
  };
  const std::vector<UnconfirmedStart> Starts = {{"task", 3, -100}};
  for (const auto &Sent :
       {std::optional<std::vector<UnconfirmedStart>>{}, std::optional(Starts),
        std::optional(std::vector<UnconfirmedStart>{})}) {
    Envelope Message;
    Message.ToLeader = MemberMessage{};
    Message.ToLeader->Workers.resize(1);
    Message.ToLeader->Workers[0].UnconfirmedStarts = Sent;
    Message.ToLeader->Confirmed = {{{"w", 5}, "other", 4}};
    const Envelope Result = Decode(Message);
    ASSERT_TRUE(Result.ToLeader);
    ASSERT_EQ(Result.ToLeader->Workers.size(), 1U);
    EXPECT_EQ(Result.ToLeader->Workers[0].UnconfirmedStarts, Sent);
    ASSERT_EQ(Result.ToLeader->Confirmed.size(), 1U);
    EXPECT_EQ(Result.ToLeader->Confirmed[0].Task, "other");
  }
  Envelope Message;
  Message.ToMember = LeaderMessage{};
  Message.ToMember->Assigned = {
      {{"w", 5}, "address", 7, 0, true, false, {}},
      {{"w", 5}, "address", 8, 0, true, false, Starts}};
  const Envelope Result = Decode(Message);
  ASSERT_TRUE(Result.ToMember);
  ASSERT_EQ(Result.ToMember->Assigned.size(), 2U);
  EXPECT_TRUE(Result.ToMember->Assigned[0].UnconfirmedStarts.empty());
  EXPECT_EQ(Result.ToMember->Assigned[1].UnconfirmedStarts, Starts);
}

// Guards against answers of an instance of the former version that are not
// read.
TEST(CodecTest, ReadsAnswersOfTheAdviceServiceWithoutTheDuration) {
  const auto Decode = [](const std::string &Text) {
    const auto Message = decodePeerMessage(Text);
    const Envelope *Result =
        Message ? std::get_if<Envelope>(&*Message) : nullptr;
    return Result && Result->ToLeader ? Result->ToLeader->Advice
                                      : std::vector<AdviceAnswer>();
  };
  Envelope Message;
  Message.ToLeader = MemberMessage{};
  Message.ToLeader->Advice = {{"step", {"w"}, true, {{"w", "ticket"}}, 520}};
  std::string Text = encode(Message);
  const auto Current = Decode(Text);
  ASSERT_EQ(Current.size(), 1U) << Text;
  EXPECT_EQ(Current[0].CallMs, 520);
  const std::size_t At = Text.find(",520]");
  ASSERT_NE(At, std::string::npos) << Text;
  Text.erase(At, 4);
  const auto Former = Decode(Text);
  ASSERT_EQ(Former.size(), 1U) << Text;
  EXPECT_TRUE(Former[0].Answered);
  EXPECT_LT(Former[0].CallMs, 0);
}

// Guards against messages that instances of the former version do not read, or
// whose counterparts of that version are not read here, because of what is sent
// for the log.
TEST(CodecTest, ReadsMessagesWithoutTheDetailsOfLostRuns) {
  const auto Decode = [](const std::string &Text) {
    const auto Message = decodePeerMessage(Text);
    const Envelope *Result =
        Message ? std::get_if<Envelope>(&*Message) : nullptr;
    return Result ? *Result : Envelope{};
  };
  const jobs::LossProof Proof{jobs::LossEvidence::LeaseEnded,
                              jobs::LeaseBasis::Granted, 9800, 9700};
  const jobs::PreviousRun Previous{1,
                                   "w0",
                                   jobs::RunOutcome::Lost,
                                   Duration{130},
                                   jobs::WorkerLoss::LeaseExpired,
                                   Proof};
  Envelope Message;
  Message.ToMember = LeaderMessage{};
  Message.ToMember->Starts = {
      {{"w", 5}, "job.0.0.0", 1, "", "", "", std::nullopt},
      {{"w", 5}, "job.0.0.0", 2, "", "", "", Previous}};
  const std::string Text = encode(Message);
  const Envelope Read = Decode(Text);
  ASSERT_TRUE(Read.ToMember && Read.ToMember->Starts.size() == 2U) << Text;
  EXPECT_EQ(Read.ToMember->Starts[1].Previous, Previous);
  // What the former version sends.
  EXPECT_EQ(Read.ToMember->Starts[0].Previous, std::nullopt);
  EXPECT_NE(Text.find(R"({"run":1,"task":"job.0.0.0","worker":["w",5]})"),
            std::string::npos)
      << Text;

  Envelope Answer;
  Answer.ToLeader = MemberMessage{};
  WorkerReport Report;
  Report.Event = WorkerEvent::LeaseExpired;
  Report.Incarnation = {"w", 5};
  Answer.ToLeader->Workers.push_back(Report);
  Report.Basis = jobs::LeaseBasis::Assumed;
  Report.GrantAgeMs = 0;
  Answer.ToLeader->Workers.push_back(Report);
  const std::string Reports = encode(Answer);
  const Envelope ReadAnswer = Decode(Reports);
  ASSERT_TRUE(ReadAnswer.ToLeader && ReadAnswer.ToLeader->Workers.size() == 2U)
      << Reports;
  EXPECT_EQ(ReadAnswer.ToLeader->Workers[0].Basis, jobs::LeaseBasis::Unknown);
  EXPECT_EQ(ReadAnswer.ToLeader->Workers[0].GrantAgeMs, -1);
  EXPECT_EQ(ReadAnswer.ToLeader->Workers[1].Basis, jobs::LeaseBasis::Assumed);
  EXPECT_EQ(ReadAnswer.ToLeader->Workers[1].GrantAgeMs, 0);
  EXPECT_NE(Reports.find(R"({"event":4,"token":0,"worker":["w",5]})"),
            std::string::npos)
      << Reports;
}

} // namespace
} // namespace apricotwing::cell
