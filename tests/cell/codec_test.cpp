#include "cell/codec.h"

#include <gtest/gtest.h>

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

} // namespace
} // namespace apricotwing::cell
