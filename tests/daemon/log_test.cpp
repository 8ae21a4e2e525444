#include "core/error.h"
#include "daemon/log.h"
#include "daemon/manualclock.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <string>
#include <thread>
#include <vector>

namespace apricotwing {
namespace {

using testing::ElementsAre;
using testing::HasSubstr;
using testing::Not;

class LogTest : public testing::Test {
protected:
  Log::Sink collectingSink() {
    return [this](LogLevel Level, const std::string &Line) {
      Levels.push_back(Level);
      Lines.push_back(Line);
    };
  }

  ManualClock Time;
  std::vector<LogLevel> Levels;
  std::vector<std::string> Lines;
};

// Guards against lines with a wrong component prefix and against lines below
// the minimum level.
TEST_F(LogTest, WritesPrefixEventAndDetailsFromMinimumLevel) {
  Log Logger(Time, LogLevel::Warning, collectingSink());
  Logger.info(Component::Scheduler, "tick done");
  Logger.warning(Component::Store, "round failed", "id=7");
  Logger.error(Component::Requests, "no slot");
  EXPECT_THAT(Lines,
              ElementsAre("store: round failed id=7", "requests: no slot"));
  EXPECT_THAT(Levels, ElementsAre(LogLevel::Warning, LogLevel::Error));
}

// Guards against a flood of log lines while a store is unavailable, and against
// lines that are dropped without being counted: written and suppressed lines
// add up to the number of events.
TEST_F(LogTest, CountsRepeatedEventsInsteadOfRepeatingThem) {
  Log Logger(Time, LogLevel::Debug, collectingSink());
  for (int Call = 0; Call < 1000; ++Call)
    Logger.warning(Component::Store, "round failed", std::to_string(Call));
  EXPECT_EQ(Lines.size(), Log::EventBurst);
  EXPECT_EQ(Logger.suppressed(), 1000 - Log::EventBurst);
  Time.advance(Log::EventWindow);
  Logger.warning(Component::Store, "round failed", "again");
  EXPECT_THAT(std::vector(Lines.end() - 2, Lines.end()),
              ElementsAre("store: round failed repeated 995 times in 10 s",
                          "store: round failed again"));
}

// Guards against a frequent event that suppresses the lines of other events.
TEST_F(LogTest, LimitsEachEventOnItsOwn) {
  Log Logger(Time, LogLevel::Debug, collectingSink());
  for (int Call = 0; Call < 20; ++Call)
    Logger.info(Component::Store, "round failed");
  Logger.info(Component::Store, "round done");
  Logger.info(Component::Peers, "round failed");
  EXPECT_EQ(Lines.size(), Log::EventBurst + 2);
}

// Guards against suppressed lines that are never reported because the event
// does not occur again.
TEST_F(LogTest, ReportsCountsOnFlushOnceTheWindowIsOver) {
  Log Logger(Time, LogLevel::Debug, collectingSink());
  for (std::uint64_t Call = 0; Call < Log::EventBurst + 3; ++Call)
    Logger.info(Component::Workers, "worker silent");
  Lines.clear();
  Logger.flush();
  EXPECT_TRUE(Lines.empty());
  Time.advance(Log::EventWindow + Duration(2000));
  Logger.flush();
  Logger.flush();
  EXPECT_THAT(Lines,
              ElementsAre("workers: worker silent repeated 3 times in 12 s"));
}

// Guards against unbounded memory if event names contain data.
TEST_F(LogTest, EventsBeyondTheMaximumShareOneLimit) {
  Log Logger(Time, LogLevel::Debug, collectingSink());
  for (std::size_t Event = 0; Event < 2 * Log::MaxEvents; ++Event)
    Logger.info(Component::Http, "event " + std::to_string(Event));
  EXPECT_EQ(Lines.size(), Log::MaxEvents + Log::EventBurst);
}

// Guards against API keys and bearer tokens in the log, whether they are part
// of the event, the details or an exception.
TEST_F(LogTest, NeverWritesKeysOrTokens) {
  Log Logger(Time, LogLevel::Debug, collectingSink());
  Logger.info(Component::Http, "request refused",
              "Authorization: Bearer s3cret-token end");
  Logger.info(Component::Http, "header", "authorization=bEaReR  s3cret-token");
  Logger.info(Component::Config, "key apricotwing-key-00ff11 seen",
              "\"apricotwing-key-abcdef\"");
  Logger.failure(Component::Store, "call failed",
                 Error(ErrorKind::UnknownKey, "Bearer s3cret-token is unknown",
                       "use apricotwing-key-77aa"));
  for (const std::string &Line : Lines) {
    EXPECT_THAT(Line, Not(HasSubstr("s3cret")));
    EXPECT_THAT(Line, Not(HasSubstr("key-")));
  }
  EXPECT_EQ(Lines[0],
            "http: request refused Authorization: Bearer (hidden) end");
  EXPECT_EQ(Lines[2], "config: key (hidden) seen \"(hidden)\"");
}

// Guards against log injection: line breaks in a caller's text must not start a
// new line.
TEST_F(LogTest, KeepsEachEventOnOneLine) {
  Log Logger(Time, LogLevel::Debug, collectingSink());
  Logger.info(Component::Http, "bad request", "path=/a\r\nstore: round done");
  EXPECT_THAT(Lines,
              ElementsAre("http: bad request path=/a  store: round done"));
}

// Guards against logged errors that lack their kind, outcome or remedy.
TEST_F(LogTest, WritesKindOutcomeAndRemedyOfAnError) {
  Log Logger(Time, LogLevel::Debug, collectingSink());
  Logger.failure(Component::Store, "call failed",
                 Error(ErrorKind::StoreUnavailable, "status 503",
                       "check the table service", Outcome::Unknown));
  EXPECT_THAT(Lines, ElementsAre("store: call failed cause=\"status 503\" "
                                 "kind=store_unavailable outcome=unknown "
                                 "remedy=\"check the table service\""));
}

// Guards against lost counts when several threads log the same event.
TEST_F(LogTest, CountsAcrossThreads) {
  Log Logger(Time, LogLevel::Debug, collectingSink());
  constexpr std::size_t ThreadCount = 4;
  std::vector<std::thread> Threads;
  Threads.reserve(ThreadCount);
  for (std::size_t Thread = 0; Thread < ThreadCount; ++Thread)
    Threads.emplace_back([&Logger] {
      for (int Call = 0; Call < 1000; ++Call)
        Logger.info(Component::Requests, "refused");
    });
  for (std::thread &Thread : Threads)
    Thread.join();
  EXPECT_EQ(Lines.size() + Logger.suppressed(), 4000U);
}

// Guards against lines that easylogging++ drops or whose text it expands as a
// format.
TEST_F(LogTest, ReachesStandardOutputThroughTheLibrary) {
  testing::internal::CaptureStdout();
  Log Logger(Time, LogLevel::Info);
  Logger.info(Component::Daemon, "started", "100%msg %level");
  Logger.debug(Component::Daemon, "hidden");
  const std::string Output = testing::internal::GetCapturedStdout();
  EXPECT_THAT(Output, HasSubstr(" INFO daemon: started 100%msg %level\n"));
  EXPECT_THAT(Output, Not(HasSubstr("hidden")));
}

} // namespace
} // namespace apricotwing
