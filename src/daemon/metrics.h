/// \file
/// Metrics of a daemon, exported in the Prometheus text format.
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

/// Duration type of metrics, with a resolution below a millisecond.
using Seconds = std::chrono::duration<double>;

enum class StoreKind { Table, Objects, List };
enum class RetryTarget { Upstream, Table, Objects, Worker };
enum class LeaseKind { Shard, Worker, ExecutorSlot, TeamRequest };
enum class ByteDirection { Received, Sent };
enum class WorkerCondition { Ready, Drained, Silent, Quarantined };
enum class ResourceKind { Cpu, Memory, Accelerators };

enum class MetricType { Counter, Gauge, Histogram };

/// Returns "counter", "gauge" or "histogram". Thread-safe.
std::string_view metricTypeName(MetricType Value);

/// Definition of a metric. metricsTable() is the source for the registry and
/// for the test that checks docs/operators.md.
struct MetricInfo {
  std::string_view Name;
  MetricType Type;
  std::string_view Labels; ///< Comma-separated label names.
  std::string_view Help;
};

/// Returns the definitions of all metrics. Thread-safe.
std::span<const MetricInfo> metricsTable();

/// The metrics of a daemon. Owned by the Daemon and passed by reference to its
/// components. Thread-safe.
class DaemonMetrics {
public:
  /// \p Time must outlive this object.
  explicit DaemonMetrics(const Clock &Time);

  /// Records that an interactive request received its response, \p Elapsed
  /// after its arrival.
  void requestAnswered(std::string_view Upstream, Outcome Result,
                       Seconds Elapsed);

  /// Records that an interactive request got a slot after waiting \p Waited.
  void requestDequeued(const TeamName &Team, Seconds Waited);

  /// Sets the number of queued interactive requests of \p Team.
  void setRequestsWaiting(const TeamName &Team, std::uint64_t Count);

  /// Sets the number of interactive requests in flight to \p Upstream.
  void setRequestsInFlight(std::string_view Upstream, std::uint64_t Count);

  /// Records that a call was rejected with error \p Reason.
  void callRefused(ErrorKind Reason);

  /// Records that a call to \p Target was retried.
  void callRetried(RetryTarget Target);

  /// Records that a run was accepted.
  void runAccepted(const TeamName &Team, RunKind Kind);

  /// Records that a run reached the final state \p State.
  void runFinished(const TeamName &Team, RunState State);

  /// Records that a task started, \p Waited after its run was accepted.
  void taskStarted(RunKind Kind, Priority TaskPriority, Seconds Waited);

  /// Records that a task was preempted.
  void taskPreempted();

  /// Records that an attempt ended without a known outcome.
  void taskLost();

  /// Sets the number of tasks of this instance's shards in \p State.
  void setTasks(TaskState State, std::uint64_t Count);

  /// Records that the scheduling decisions of a shard's tick took \p Elapsed.
  void tickDecided(Seconds Elapsed);

  /// Records that the commit of a shard's tick took \p Elapsed.
  void tickCommitted(Seconds Elapsed);

  /// Sets the reserved fraction, 0 to 1, of the capacity that this instance's
  /// shards schedule.
  void setPackingRatio(ResourceKind Resource, double Fraction);

  /// Sets the dominant resource fraction of \p Team minus its fair share, -1 to
  /// 1.
  void setShareDistance(const TeamName &Team, double Distance);

  /// Records that a read from \p Store took \p Elapsed.
  void storeRead(StoreKind Store, Seconds Elapsed);

  /// Records that a write to \p Store took \p Elapsed.
  void storeWritten(StoreKind Store, Seconds Elapsed);

  /// Records that a call to \p Store failed.
  void storeFailed(StoreKind Store);

  /// Adds \p Count bytes to the network traffic.
  void addBytes(ByteDirection Direction, std::uint64_t Count);

  /// Sets the number of leases or grants of \p Kind that this instance holds.
  void setLeasesHeld(LeaseKind Kind, std::uint64_t Count);

  /// Sets the remaining validity of the authority; negative if it has ended.
  void setAuthorityLeft(Seconds Left);

  /// Records that the authority was extended by promises of all peers.
  void authorityExtended();

  /// Records that this instance fenced another session.
  void sessionFenced();

  /// Records that this instance took over a shard.
  void shardTakenOver();

  /// Sets the number of workers of this instance's shards in \p Condition.
  void setWorkers(WorkerCondition Condition, std::uint64_t Count);

  /// Sets the configuration version in force and the time since when it is.
  void setConfig(std::uint64_t Version, TimePoint Since);

  /// Sets whether this instance accepts calls.
  void setReady(bool Ready);

  /// Sets the total number of suppressed log lines since the start.
  void setLogLinesSuppressed(std::uint64_t Count);

  /// Sets the total number of connections closed and requests refused since the
  /// start because of the limit \p Cause for clients.
  void setClientsRefused(std::string_view Cause, std::uint64_t Count);

  /// Removes the gauges of all teams that are not in \p Teams. Call after teams
  /// were removed from the configuration.
  void retainTeams(const std::set<TeamName> &Teams);

  /// Updates the CPU time and memory of the process and returns all metrics as
  /// text.
  std::string serialize();

private:
  using Labels = prometheus::Labels;

  prometheus::Counter &counter(std::size_t Metric,
                               const Labels &LabelValues = {});
  prometheus::Gauge &gauge(std::size_t Metric, const Labels &LabelValues = {});
  prometheus::Histogram &histogram(std::size_t Metric,
                                   const Labels &LabelValues = {});
  prometheus::Gauge &teamGauge(std::size_t Metric, const TeamName &Team);
  void registerAll();
  void refresh();
  void refreshProcessUsage();
  void raiseCounterTo(std::size_t Metric, double Total,
                      const Labels &Values = {});

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
