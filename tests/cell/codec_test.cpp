#include "cell/codec.h"

#include <gtest/gtest.h>

#include <string>

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

} // namespace
} // namespace apricotwing::cell
