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
  Log::Sink collect() {
    return [this](LogLevel Level, const std::string &Line) {
      Levels.push_back(Level);
      Lines.push_back(Line);
    };
  }

  ManualClock Time;
  std::vector<LogLevel> Levels;
  std::vector<std::string> Lines;
};

// Guards against lines of another component or level than the one asked for.
TEST_F(LogTest, WritesPrefixEventAndDetailsFromTheLevelOn) {
  Log Target(Time, LogLevel::Warning, collect());
  Target.info(Component::Scheduler, "tick done");
  Target.warning(Component::Store, "round failed", "id=7");
  Target.error(Component::Requests, "no slot");
  EXPECT_THAT(Lines,
              ElementsAre("store: round failed id=7", "requests: no slot"));
  EXPECT_THAT(Levels, ElementsAre(LogLevel::Warning, LogLevel::Error));
}

// Guards against a flood of lines while a store is down, and against events
// that are dropped without a trace: written and counted add up.
TEST_F(LogTest, CountsRepeatedEventsInsteadOfRepeatingThem) {
  Log Target(Time, LogLevel::Debug, collect());
  for (int Call = 0; Call < 1000; ++Call)
    Target.warning(Component::Store, "round failed", std::to_string(Call));
  EXPECT_EQ(Lines.size(), Log::EventBurst);
  EXPECT_EQ(Target.suppressed(), 1000 - Log::EventBurst);
  Time.advance(Log::EventWindow);
  Target.warning(Component::Store, "round failed", "again");
  EXPECT_THAT(std::vector(Lines.end() - 2, Lines.end()),
              ElementsAre("store: round failed repeated 995 times in 10 s",
                          "store: round failed again"));
}

// Guards against an event that hides another one.
TEST_F(LogTest, LimitsEachEventOnItsOwn) {
  Log Target(Time, LogLevel::Debug, collect());
  for (int Call = 0; Call < 20; ++Call)
    Target.info(Component::Store, "round failed");
  Target.info(Component::Store, "round done");
  Target.info(Component::Peers, "round failed");
  EXPECT_EQ(Lines.size(), Log::EventBurst + 2);
}

// Guards against counts that are never reported because the event stopped.
TEST_F(LogTest, ReportsCountsOnFlushOnceTheWindowIsOver) {
  Log Target(Time, LogLevel::Debug, collect());
  for (std::uint64_t Call = 0; Call < Log::EventBurst + 3; ++Call)
    Target.info(Component::Workers, "worker silent");
  Lines.clear();
  Target.flush();
  EXPECT_TRUE(Lines.empty());
  Time.advance(Log::EventWindow + Duration(2000));
  Target.flush();
  Target.flush();
  EXPECT_THAT(Lines,
              ElementsAre("workers: worker silent repeated 3 times in 12 s"));
}

// Guards against memory that grows with event names made from data.
TEST_F(LogTest, SharesOneLimitAmongTooManyEvents) {
  Log Target(Time, LogLevel::Debug, collect());
  for (std::size_t Event = 0; Event < 2 * Log::MaxEvents; ++Event)
    Target.info(Component::Http, "event " + std::to_string(Event));
  EXPECT_EQ(Lines.size(), Log::MaxEvents + Log::EventBurst);
}

// Guards against keys and tokens in the log, wherever they come from.
TEST_F(LogTest, NeverWritesKeysOrTokens) {
  Log Target(Time, LogLevel::Debug, collect());
  Target.info(Component::Http, "request refused",
              "Authorization: Bearer s3cret-token end");
  Target.info(Component::Http, "header", "authorization=bEaReR  s3cret-token");
  Target.info(Component::Config, "key apricotwing-key-00ff11 seen",
              "\"apricotwing-key-abcdef\"");
  Target.failure(Component::Store, "call failed",
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

// Guards against a second line that a caller's text could forge.
TEST_F(LogTest, KeepsEachEventOnOneLine) {
  Log Target(Time, LogLevel::Debug, collect());
  Target.info(Component::Http, "bad request", "path=/a\r\nstore: round done");
  EXPECT_THAT(Lines,
              ElementsAre("http: bad request path=/a  store: round done"));
}

// Guards against an error in the log without what the operator can do.
TEST_F(LogTest, WritesKindOutcomeAndRemedyOfAnError) {
  Log Target(Time, LogLevel::Debug, collect());
  Target.failure(Component::Store, "call failed",
                 Error(ErrorKind::StoreUnavailable, "status 503",
                       "check the table service", Outcome::Unknown));
  EXPECT_THAT(Lines, ElementsAre("store: call failed cause=\"status 503\" "
                                 "kind=store_unavailable outcome=unknown "
                                 "remedy=\"check the table service\""));
}

// Guards against lost counts when several threads report one event.
TEST_F(LogTest, CountsAcrossThreads) {
  Log Target(Time, LogLevel::Debug, collect());
  constexpr std::size_t ThreadCount = 4;
  std::vector<std::thread> Threads;
  Threads.reserve(ThreadCount);
  for (std::size_t Thread = 0; Thread < ThreadCount; ++Thread)
    Threads.emplace_back([&Target] {
      for (int Call = 0; Call < 1000; ++Call)
        Target.info(Component::Requests, "refused");
    });
  for (std::thread &Thread : Threads)
    Thread.join();
  EXPECT_EQ(Lines.size() + Target.suppressed(), 4000U);
}

// Guards against output that easylogging++ drops or formats differently.
TEST_F(LogTest, ReachesStandardOutputThroughTheLibrary) {
  testing::internal::CaptureStdout();
  Log Target(Time, LogLevel::Info);
  Target.info(Component::Daemon, "started", "100%msg %level");
  Target.debug(Component::Daemon, "hidden");
  const std::string Output = testing::internal::GetCapturedStdout();
  EXPECT_THAT(Output, HasSubstr(" INFO daemon: started 100%msg %level\n"));
  EXPECT_THAT(Output, Not(HasSubstr("hidden")));
}

} // namespace
} // namespace apricotwing
