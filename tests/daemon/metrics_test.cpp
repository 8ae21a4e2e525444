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

/// Calls every method that changes a metric once.
void callEveryMethod(DaemonMetrics &Metrics, const Clock &Time) {
  Metrics.requestAnswered("fitquote", Outcome::Done, Seconds(0.25));
  Metrics.requestDequeued("sales", Seconds(0.01));
  Metrics.setRequestsWaiting("sales", 3);
  Metrics.setRequestsInFlight("fitquote", 4);
  Metrics.callRefused(ErrorKind::LimitReached);
  Metrics.callRetried(RetryTarget::Upstream);
  Metrics.runAccepted("sales", RunKind::Gang);
  Metrics.runFinished("sales", RunState::Succeeded);
  Metrics.taskStarted(RunKind::Batch, Priority::Urgent, Seconds(5));
  Metrics.taskPreempted();
  Metrics.taskLost();
  Metrics.setTasks(TaskState::Running, 12);
  Metrics.tickDecided(Seconds(0.0002));
  Metrics.tickCommitted(Seconds(0.003));
  Metrics.setPackingRatio(ResourceKind::Cpu, 0.75);
  Metrics.setShareDistance("sales", -0.125);
  Metrics.storeRead(StoreKind::Table, Seconds(0.002));
  Metrics.storeWritten(StoreKind::Objects, Seconds(0.004));
  Metrics.storeFailed(StoreKind::List);
  Metrics.addBytes(ByteDirection::Sent, 100);
  Metrics.setLeasesHeld(LeaseKind::Shard, 2);
  Metrics.setAuthorityLeft(Seconds(7.5));
  Metrics.authorityExtended();
  Metrics.sessionFenced();
  Metrics.shardTakenOver();
  Metrics.setWorkers(WorkerCondition::Quarantined, 1);
  Metrics.setConfig(9, Time.now());
  Metrics.setReady(true);
  Metrics.setLogLinesSuppressed(17);
  Metrics.setClientsRefused("memory", 3);
}

/// Returns the name and type of each line "# TYPE <name> <type>".
std::set<std::pair<std::string, std::string>> exportedTypes(std::string Text) {
  std::set<std::pair<std::string, std::string>> Result;
  std::istringstream Input(std::move(Text));
  for (std::string Line; std::getline(Input, Line);) {
    std::istringstream Words(Line);
    std::string HashSign;
    std::string Word;
    std::string Name;
    std::string Type;
    if (Words >> HashSign >> Word >> Name >> Type && Word == "TYPE")
      Result.emplace(Name, Type);
  }
  return Result;
}

// Guards against a metric that is in the table, and therefore documented, but
// is not exported or is exported with a different name or type.
TEST(MetricsTest, ExportsExactlyTheTable) {
  ManualClock Time;
  DaemonMetrics Metrics(Time);
  callEveryMethod(Metrics, Time);
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
  EXPECT_EQ(exportedTypes(Metrics.serialize()), Expected);
}

// Guards against values that are exported in milliseconds or with wrong labels.
TEST(MetricsTest, ExportsValuesInSecondsWithTheirLabels) {
  ManualClock Time;
  DaemonMetrics Metrics(Time);
  callEveryMethod(Metrics, Time);
  Time.advance(Duration(1500));
  const std::string Text = Metrics.serialize();
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
        "apricotwing_ready 1\n", "apricotwing_log_lines_suppressed_total 17\n",
        "apricotwing_clients_refused_total{cause=\"memory\"} 3\n"})
    EXPECT_THAT(Text, HasSubstr(Line));
}

// Guards against a counter that decreases, or that counts a total twice when
// the same total is set repeatedly.
TEST(MetricsTest, CounterFollowsAnExternalTotal) {
  ManualClock Time;
  DaemonMetrics Metrics(Time);
  Metrics.setLogLinesSuppressed(5);
  Metrics.setLogLinesSuppressed(5);
  Metrics.setLogLinesSuppressed(8);
  EXPECT_THAT(Metrics.serialize(),
              HasSubstr("apricotwing_log_lines_suppressed_total 8\n"));
}

// Guards against gauges of a removed team that keep their last value and cause
// permanent alerts.
TEST(MetricsTest, RemovesGaugesOfRemovedTeams) {
  ManualClock Time;
  DaemonMetrics Metrics(Time);
  Metrics.setShareDistance("sales", 0.5);
  Metrics.setShareDistance("stock", 0.25);
  Metrics.setRequestsWaiting("sales", 3);
  Metrics.retainTeams({"stock"});
  const std::string Text = Metrics.serialize();
  EXPECT_THAT(Text, Not(HasSubstr("team=\"sales\"")));
  EXPECT_THAT(Text, HasSubstr("team=\"stock\""));
  Metrics.setShareDistance("sales", 0.75);
  EXPECT_THAT(Metrics.serialize(),
              HasSubstr("apricotwing_share_distance{team=\"sales\"} 0.75\n"));
}

// Guards against lost counts with several threads, and against a crash if teams
// are removed while their gauges are being set.
TEST(MetricsTest, CountsAcrossThreads) {
  ManualClock Time;
  DaemonMetrics Metrics(Time);
  constexpr std::size_t ThreadCount = 4;
  std::vector<std::thread> Threads;
  Threads.reserve(ThreadCount);
  for (std::size_t Thread = 0; Thread < ThreadCount; ++Thread)
    Threads.emplace_back([&Metrics] {
      for (int Call = 0; Call < 1000; ++Call) {
        Metrics.callRefused(ErrorKind::Overloaded);
        Metrics.setShareDistance("sales", 0.5);
        if (Call % 100 == 0)
          Metrics.retainTeams({});
      }
    });
  for (std::thread &Thread : Threads)
    Thread.join();
  EXPECT_THAT(Metrics.serialize(),
              HasSubstr("apricotwing_refusals_total{reason=\"overloaded\"} "
                        "4000\n"));
}

} // namespace
} // namespace apricotwing
