#include "daemon/manualclock.h"
#include "daemon/metrics.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <set>
#include <sstream>
#include <thread>
#include <vector>

namespace apricotwing {
namespace {

using testing::HasSubstr;
using testing::Not;

/// Uses every method once.
void touchAll(Metrics &Target, const Clock &Time) {
  Target.requestAnswered("fitquote", Outcome::Done, Seconds(0.25));
  Target.requestDequeued("sales", Seconds(0.01));
  Target.setRequestsWaiting("sales", 3);
  Target.setRequestsInFlight("fitquote", 4);
  Target.refused(ErrorKind::LimitReached);
  Target.retried(RetryTarget::Upstream);
  Target.runAccepted("sales", RunKind::Gang);
  Target.runFinished("sales", RunState::Succeeded);
  Target.taskStarted(RunKind::Batch, Priority::Urgent, Seconds(5));
  Target.taskPreempted();
  Target.taskLost();
  Target.setTasks(TaskState::Running, 12);
  Target.decided(Seconds(0.0002));
  Target.committed(Seconds(0.003));
  Target.setPacking(ResourceKind::Cpu, 0.75);
  Target.setShareDistance("sales", -0.125);
  Target.storeRead(StoreKind::Table, Seconds(0.002));
  Target.storeWritten(StoreKind::Objects, Seconds(0.004));
  Target.storeFailed(StoreKind::List);
  Target.addBytes(ByteDirection::Sent, 100);
  Target.setLeasesHeld(LeaseKind::Shard, 2);
  Target.setAuthorityLeft(Seconds(7.5));
  Target.authorityExtended();
  Target.sessionFenced();
  Target.shardTakenOver();
  Target.setWorkers(WorkerCondition::Quarantined, 1);
  Target.setConfig(9, Time.now());
  Target.setReady(true);
  Target.setLogLinesSuppressed(17);
}

/// Names on the lines "# TYPE <name> <type>", with the type.
std::set<std::pair<std::string, std::string>> scrapedTypes(std::string Text) {
  std::set<std::pair<std::string, std::string>> Result;
  std::istringstream Input(std::move(Text));
  for (std::string Line; std::getline(Input, Line);) {
    std::istringstream Words(Line);
    std::string Hash;
    std::string Word;
    std::string Name;
    std::string Type;
    if (Words >> Hash >> Word >> Name >> Type && Word == "TYPE")
      Result.emplace(Name, Type);
  }
  return Result;
}

// Guards against a metric that is in the table (and so in the documents) but
// never exported, or exported under another name or type.
TEST(MetricsTest, ExportsExactlyTheTable) {
  ManualClock Time;
  Metrics Target(Time);
  touchAll(Target, Time);
  std::set<std::pair<std::string, std::string>> Expected;
  for (const MetricInfo &Info : metricsTable()) {
    EXPECT_TRUE(Info.Name.starts_with("apricotwing_")) << Info.Name;
    EXPECT_EQ(Info.Type == MetricType::Counter, Info.Name.ends_with("_total"))
        << Info.Name;
    EXPECT_TRUE(Info.Type != MetricType::Histogram ||
                Info.Name.ends_with("_seconds"))
        << Info.Name;
    Expected.emplace(Info.Name, metricTypeName(Info.Type));
  }
  EXPECT_EQ(Expected.size(), metricsTable().size());
  EXPECT_EQ(scrapedTypes(Target.serialize()), Expected);
}

// Guards against values that are exported in milliseconds or under the wrong
// label.
TEST(MetricsTest, ExportsValuesInSecondsWithTheirLabels) {
  ManualClock Time;
  Metrics Target(Time);
  touchAll(Target, Time);
  Time.advance(Duration(1500));
  const std::string Text = Target.serialize();
  for (const char *Line :
       {"apricotwing_request_seconds_sum{upstream=\"fitquote\"} 0.25\n",
        "apricotwing_request_seconds_bucket{upstream=\"fitquote\",le=\"0.2\"} "
        "0\n",
        "apricotwing_request_seconds_bucket{upstream=\"fitquote\",le=\"0.5\"} "
        "1\n",
        "apricotwing_refusals_total{reason=\"limit_reached\"} 1\n",
        "apricotwing_share_distance{team=\"sales\"} -0.125\n",
        "apricotwing_task_wait_seconds_sum{kind=\"batch\",priority=\"urgent\"} "
        "5\n",
        "apricotwing_config_version 9\n", "apricotwing_config_age_seconds 1.5",
        "apricotwing_ready 1\n", "apricotwing_log_lines_suppressed_total 17\n"})
    EXPECT_THAT(Text, HasSubstr(Line));
}

// Guards against a total that falls or grows twice from a repeated reading.
TEST(MetricsTest, KeepsTotalsThatAreReadElsewhere) {
  ManualClock Time;
  Metrics Target(Time);
  Target.setLogLinesSuppressed(5);
  Target.setLogLinesSuppressed(5);
  Target.setLogLinesSuppressed(8);
  EXPECT_THAT(Target.serialize(),
              HasSubstr("apricotwing_log_lines_suppressed_total 8\n"));
}

// Guards against gauges of a removed team that stay at their last value and
// raise alerts for ever.
TEST(MetricsTest, ForgetsRemovedTeams) {
  ManualClock Time;
  Metrics Target(Time);
  Target.setShareDistance("sales", 0.5);
  Target.setShareDistance("stock", 0.25);
  Target.setRequestsWaiting("sales", 3);
  Target.retainTeams({"stock"});
  const std::string Text = Target.serialize();
  EXPECT_THAT(Text, Not(HasSubstr("team=\"sales\"")));
  EXPECT_THAT(Text, HasSubstr("team=\"stock\""));
  Target.setShareDistance("sales", 0.75);
  EXPECT_THAT(Target.serialize(),
              HasSubstr("apricotwing_share_distance{team=\"sales\"} 0.75\n"));
}

// Guards against lost counts and against a crash when teams are removed while
// their gauges are being set.
TEST(MetricsTest, CountsAcrossThreads) {
  ManualClock Time;
  Metrics Target(Time);
  constexpr std::size_t ThreadCount = 4;
  std::vector<std::thread> Threads;
  Threads.reserve(ThreadCount);
  for (std::size_t Thread = 0; Thread < ThreadCount; ++Thread)
    Threads.emplace_back([&Target] {
      for (int Call = 0; Call < 1000; ++Call) {
        Target.refused(ErrorKind::Overloaded);
        Target.setShareDistance("sales", 0.5);
        if (Call % 100 == 0)
          Target.retainTeams({});
      }
    });
  for (std::thread &Thread : Threads)
    Thread.join();
  EXPECT_THAT(Target.serialize(),
              HasSubstr("apricotwing_refusals_total{reason=\"overloaded\"} "
                        "4000\n"));
}

} // namespace
} // namespace apricotwing
