/// \file
/// The metrics of one daemon, in the text format of Prometheus.
#ifndef APRICOTWING_DAEMON_METRICS_H
#define APRICOTWING_DAEMON_METRICS_H

#include "core/error.h"
#include "core/run.h"
#include "core/time.h"

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <span>
#include <string>
#include <string_view>

namespace apricotwing {

/// Durations of metrics; finer than a millisecond.
using Seconds = std::chrono::duration<double>;

enum class StoreKind { Table, Objects, List };
enum class RetryTarget { Upstream, Table, Objects, Worker };
enum class LeaseKind { Shard, Worker, ExecutorSlot, TeamRequest };
enum class ByteDirection { Received, Sent };
enum class WorkerCondition { Ready, Drained, Silent, Quarantined };
enum class ResourceKind { Cpu, Memory, Accelerators };

enum class MetricType { Counter, Gauge, Histogram };

/// "counter", "gauge" or "histogram". Thread-safe.
std::string_view metricTypeName(MetricType Value);

/// One metric. The table of these rows serves the registry and the test of
/// docs/operators.md.
struct MetricInfo {
  std::string_view Name;
  MetricType Type;
  std::string_view Labels; ///< Names of the labels, separated by commas.
  std::string_view Help;
};

/// All metrics. Thread-safe.
std::span<const MetricInfo> metricsTable();

/// Counts and measures of one daemon, created by main() and passed by
/// reference to its parts. Thread-safe.
class Metrics {
public:
  /// \p Time must outlive this object.
  explicit Metrics(const Clock &Time);

  /// An interactive request was answered, after \p Took since its arrival.
  void requestAnswered(std::string_view Upstream, Outcome Result, Seconds Took);

  /// An interactive request waited \p Waited for a slot.
  void requestDequeued(const TeamName &Team, Seconds Waited);

  /// Interactive requests of \p Team that wait now.
  void setRequestsWaiting(const TeamName &Team, std::uint64_t Count);

  /// Interactive requests to \p Upstream that are in flight now.
  void setRequestsInFlight(std::string_view Upstream, std::uint64_t Count);

  /// A call was refused because of \p Reason.
  void refused(ErrorKind Reason);

  /// A call to \p Target was repeated.
  void retried(RetryTarget Target);

  /// A run was accepted.
  void runAccepted(const TeamName &Team, RunKind Kind);

  /// A run reached the final state \p State.
  void runFinished(const TeamName &Team, RunState State);

  /// A task started, \p Waited after its run was accepted.
  void taskStarted(RunKind Kind, Priority Urgency, Seconds Waited);

  /// A task was stopped in favour of another one.
  void taskPreempted();

  /// The outcome of an attempt was lost.
  void taskLost();

  /// Tasks of this instance's shards in \p State.
  void setTasks(TaskState State, std::uint64_t Count);

  /// A tick of a shard decided within \p Took.
  void decided(Seconds Took);

  /// A tick of a shard was committed within \p Took.
  void committed(Seconds Took);

  /// Reserved fraction, 0 to 1, of the capacity that this instance's shards
  /// schedule.
  void setPacking(ResourceKind Resource, double Fraction);

  /// Dominant fraction of \p Team minus its fair share, -1 to 1.
  void setShareDistance(const TeamName &Team, double Distance);

  /// A read from \p Store took \p Took.
  void storeRead(StoreKind Store, Seconds Took);

  /// A write to \p Store took \p Took.
  void storeWritten(StoreKind Store, Seconds Took);

  /// A call to \p Store failed.
  void storeFailed(StoreKind Store);

  /// \p Count bytes went over the network.
  void addBytes(ByteDirection Direction, std::uint64_t Count);

  /// Leases and grants of \p Kind that this instance holds.
  void setLeasesHeld(LeaseKind Kind, std::uint64_t Count);

  /// Time for which the authority is still valid; negative if it has ended.
  void setAuthorityLeft(Seconds Left);

  /// All peers promised, and the authority was extended.
  void authorityExtended();

  /// This instance fenced another session.
  void sessionFenced();

  /// This instance took over a shard.
  void shardTakenOver();

  /// Workers of this instance's shards in \p Condition.
  void setWorkers(WorkerCondition Condition, std::uint64_t Count);

  /// Configuration \p Version is in force since \p Since.
  void setConfig(std::uint64_t Version, TimePoint Since);

  /// Whether this instance accepts calls.
  void setReady(bool Ready);

  /// Log lines that were counted instead of written since the start.
  void setLogLinesSuppressed(std::uint64_t Count);

  /// Forgets the gauges of all teams that are not in \p Teams, after a team
  /// was removed.
  void retainTeams(const std::set<TeamName> &Teams);

  /// All metrics as text; reads the process's CPU time and memory.
  std::string serialize();

private:
  using Labels = prometheus::Labels;

  prometheus::Counter &counter(std::size_t Metric, const Labels &By = {});
  prometheus::Gauge &gauge(std::size_t Metric, const Labels &By = {});
  prometheus::Histogram &histogram(std::size_t Metric, const Labels &By = {});
  prometheus::Gauge &teamGauge(std::size_t Metric, const TeamName &Team);
  void registerAll();
  void refresh();
  void refreshProcessCost();
  void raiseTo(std::size_t Metric, double Total);

  const Clock &Time;
  prometheus::Registry Registry;
  std::map<std::size_t, prometheus::Family<prometheus::Counter> *> Counters;
  std::map<std::size_t, prometheus::Family<prometheus::Gauge> *> Gauges;
  std::map<std::size_t, prometheus::Family<prometheus::Histogram> *> Histograms;

  std::mutex Mutex; ///< Guards the members below.
  TimePoint ConfigSince;
  bool HasConfig = false;
  std::map<std::pair<std::size_t, TeamName>, prometheus::Gauge *> TeamGauges;
};

} // namespace apricotwing

#endif
