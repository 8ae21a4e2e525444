#include "daemon/metrics.h"

#include <prometheus/text_serializer.h>

#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <fstream>
#include <sstream>
#include <utility>

namespace apricotwing {

namespace {

// Indexes into MetricsRows, in the same order.
enum MetricIndex : std::size_t {
  RequestsTotal,
  RequestSeconds,
  RequestWaitSeconds,
  RequestsWaiting,
  RequestsInFlight,
  RefusalsTotal,
  RetriesTotal,
  RunsAcceptedTotal,
  RunsFinishedTotal,
  TaskWaitSeconds,
  PreemptionsTotal,
  TasksLostTotal,
  Tasks,
  DecisionSeconds,
  CommitSeconds,
  PackingRatio,
  ShareDistance,
  StoreReadsTotal,
  StoreWritesTotal,
  StoreErrorsTotal,
  StoreSeconds,
  CpuSecondsTotal,
  ResidentBytes,
  NetworkBytesTotal,
  LeasesHeld,
  AuthoritySeconds,
  AuthorityExtensionsTotal,
  SessionsFencedTotal,
  ShardsTakenOverTotal,
  Workers,
  ConfigVersion,
  ConfigAgeSeconds,
  Ready,
  LogLinesSuppressedTotal,
  ClientsRefusedTotal,
  MetricCount,
};

constexpr auto C = MetricType::Counter;
constexpr auto G = MetricType::Gauge;
constexpr auto H = MetricType::Histogram;

constexpr std::array<MetricInfo, MetricCount> MetricsRows = {{
    {"apricotwing_requests_total", C, "upstream,outcome",
     "Interactive requests answered."},
    {"apricotwing_request_seconds", H, "upstream",
     "Time from the arrival of an interactive request to its answer."},
    {"apricotwing_request_wait_seconds", H, "team",
     "Time that an interactive request waited for a slot."},
    {"apricotwing_requests_waiting", G, "team",
     "Interactive requests that wait for a slot."},
    {"apricotwing_requests_in_flight", G, "upstream",
     "Interactive requests sent and not yet answered."},
    {"apricotwing_refusals_total", C, "reason", "Calls refused."},
    {"apricotwing_retries_total", C, "target", "Calls repeated."},
    {"apricotwing_runs_accepted_total", C, "team,kind", "Runs accepted."},
    {"apricotwing_runs_finished_total", C, "team,state",
     "Runs that reached a final state."},
    {"apricotwing_task_wait_seconds", H, "kind,priority",
     "Time from the acceptance of a run to the start of a task."},
    {"apricotwing_preemptions_total", C, "",
     "Tasks stopped in favour of others."},
    {"apricotwing_tasks_lost_total", C, "",
     "Attempts that ended without a known outcome."},
    {"apricotwing_tasks", G, "state", "Tasks of this instance's shards."},
    {"apricotwing_decision_seconds", H, "",
     "Time that a tick of a shard took to decide."},
    {"apricotwing_commit_seconds", H, "",
     "Time that a tick of a shard took to commit."},
    {"apricotwing_packing_ratio", G, "resource",
     "Reserved fraction of the capacity of this instance's shards."},
    {"apricotwing_share_distance", G, "team",
     "Dominant fraction of a team minus its fair share."},
    {"apricotwing_store_reads_total", C, "store", "Reads of shared state."},
    {"apricotwing_store_writes_total", C, "store", "Writes of shared state."},
    {"apricotwing_store_errors_total", C, "store", "Failed calls to a store."},
    {"apricotwing_store_seconds", H, "store",
     "Time that a call to a store took."},
    {"apricotwing_cpu_seconds_total", C, "", "CPU time of this process."},
    {"apricotwing_resident_bytes", G, "", "Resident memory of this process."},
    {"apricotwing_network_bytes_total", C, "direction",
     "Bytes of the calls that this instance made, with HTTP headers."},
    {"apricotwing_leases_held", G, "kind",
     "Leases and grants that this instance holds."},
    {"apricotwing_authority_seconds", G, "",
     "Time for which the authority is still valid."},
    {"apricotwing_authority_extensions_total", C, "",
     "Extensions of the authority by promises of all peers."},
    {"apricotwing_sessions_fenced_total", C, "",
     "Sessions of other instances that this one fenced."},
    {"apricotwing_shards_taken_over_total", C, "",
     "Shards that this instance took over."},
    {"apricotwing_workers", G, "condition",
     "Workers of this instance's shards."},
    {"apricotwing_config_version", G, "", "Configuration version in force."},
    {"apricotwing_config_age_seconds", G, "",
     "Time since this configuration version came into force here."},
    {"apricotwing_ready", G, "", "1 if this instance accepts calls, else 0."},
    {"apricotwing_log_lines_suppressed_total", C, "",
     "Repeated log lines that were counted instead of written."},
    {"apricotwing_clients_refused_total", C, "cause",
     "Connections closed and requests refused by a limit for clients."},
}};

template <typename Enum, std::size_t Count>
using NameTable = std::array<std::pair<Enum, std::string_view>, Count>;

constexpr NameTable<StoreKind, 3> StoreNames = {{
    {StoreKind::Table, "table"},
    {StoreKind::Objects, "objects"},
    {StoreKind::List, "list"},
}};

constexpr NameTable<RetryTarget, 4> TargetNames = {{
    {RetryTarget::Upstream, "upstream"},
    {RetryTarget::Table, "table"},
    {RetryTarget::Objects, "objects"},
    {RetryTarget::Worker, "worker"},
}};

constexpr NameTable<LeaseKind, 4> LeaseNames = {{
    {LeaseKind::Shard, "shard"},
    {LeaseKind::Worker, "worker"},
    {LeaseKind::ExecutorSlot, "executor_slot"},
    {LeaseKind::TeamRequest, "team_request"},
}};

constexpr NameTable<ByteDirection, 2> DirectionNames = {{
    {ByteDirection::Received, "received"},
    {ByteDirection::Sent, "sent"},
}};

constexpr NameTable<WorkerCondition, 4> ConditionNames = {{
    {WorkerCondition::Ready, "ready"},
    {WorkerCondition::Drained, "drained"},
    {WorkerCondition::Silent, "silent"},
    {WorkerCondition::Quarantined, "quarantined"},
}};

constexpr NameTable<ResourceKind, 3> ResourceNames = {{
    {ResourceKind::Cpu, "cpu"},
    {ResourceKind::Memory, "memory"},
    {ResourceKind::Accelerators, "accelerators"},
}};

constexpr NameTable<MetricType, 3> TypeNames = {{
    {C, "counter"},
    {G, "gauge"},
    {H, "histogram"},
}};

template <typename Enum, std::size_t Count>
std::string lookupName(const NameTable<Enum, Count> &Table, Enum Value) {
  for (const auto &[Known, Name] : Table)
    if (Known == Value)
      return std::string(Name);
  return "unknown";
}

// Bucket bounds in seconds: from 10 us, for scheduling decisions with a target
// of 1 ms, to waiting times of an hour.
const prometheus::Histogram::BucketBoundaries &buckets() {
  static const prometheus::Histogram::BucketBoundaries Bounds = {
      0.00001, 0.00003, 0.0001, 0.0003, 0.001, 0.002, 0.005, 0.01,
      0.02,    0.05,    0.1,    0.2,    0.5,   1,     2,     5,
      10,      30,      60,     300,    900,   3600};
  return Bounds;
}

constexpr double MicrosPerSecond = 1e6;

double seconds(const timeval &Value) {
  return static_cast<double>(Value.tv_sec) +
         static_cast<double>(Value.tv_usec) / MicrosPerSecond;
}

double processCpuSeconds() {
  rusage Usage{};
  getrusage(RUSAGE_SELF, &Usage);
  return seconds(Usage.ru_utime) + seconds(Usage.ru_stime);
}

double processResidentBytes() {
  std::ifstream Statm("/proc/self/statm");
  double TotalPages = 0;
  double ResidentPages = 0;
  Statm >> TotalPages >> ResidentPages;
  return ResidentPages * static_cast<double>(sysconf(_SC_PAGESIZE));
}

} // namespace

std::string_view metricTypeName(MetricType Value) {
  for (const auto &[Type, Name] : TypeNames)
    if (Type == Value)
      return Name;
  return {};
}

std::span<const MetricInfo> metricsTable() { return MetricsRows; }

DaemonMetrics::DaemonMetrics(const Clock &Time) : Time(Time) {
  registerAll();
  for (std::size_t Metric = 0; Metric < MetricCount; ++Metric)
    if (MetricsRows[Metric].Labels.empty() && MetricsRows[Metric].Type != H)
      MetricsRows[Metric].Type == C ? void(counter(Metric))
                                    : void(gauge(Metric));
}

void DaemonMetrics::requestAnswered(std::string_view Upstream, Outcome Result,
                                    Seconds Elapsed) {
  const std::string Name(Upstream);
  counter(RequestsTotal,
          {{"upstream", Name}, {"outcome", std::string(outcomeName(Result))}})
      .Increment();
  histogram(RequestSeconds, {{"upstream", Name}}).Observe(Elapsed.count());
}

void DaemonMetrics::requestDequeued(const TeamName &Team, Seconds Waited) {
  histogram(RequestWaitSeconds, {{"team", Team}}).Observe(Waited.count());
}

void DaemonMetrics::setRequestsWaiting(const TeamName &Team,
                                       std::uint64_t Count) {
  const std::scoped_lock Lock(Mutex);
  teamGauge(RequestsWaiting, Team).Set(static_cast<double>(Count));
}

void DaemonMetrics::setRequestsInFlight(std::string_view Upstream,
                                        std::uint64_t Count) {
  gauge(RequestsInFlight, {{"upstream", std::string(Upstream)}})
      .Set(static_cast<double>(Count));
}

void DaemonMetrics::callRefused(ErrorKind Reason) {
  counter(RefusalsTotal, {{"reason", std::string(errorCode(Reason))}})
      .Increment();
}

void DaemonMetrics::callRetried(RetryTarget Target) {
  counter(RetriesTotal, {{"target", lookupName(TargetNames, Target)}})
      .Increment();
}

void DaemonMetrics::runAccepted(const TeamName &Team, RunKind Kind) {
  counter(RunsAcceptedTotal,
          {{"team", Team}, {"kind", std::string(runKindName(Kind))}})
      .Increment();
}

void DaemonMetrics::runFinished(const TeamName &Team, RunState State) {
  counter(RunsFinishedTotal,
          {{"team", Team}, {"state", std::string(runStateName(State))}})
      .Increment();
}

void DaemonMetrics::taskStarted(RunKind Kind, Priority TaskPriority,
                                Seconds Waited) {
  histogram(TaskWaitSeconds,
            {{"kind", std::string(runKindName(Kind))},
             {"priority", std::string(priorityName(TaskPriority))}})
      .Observe(Waited.count());
}

void DaemonMetrics::taskPreempted() { counter(PreemptionsTotal).Increment(); }

void DaemonMetrics::taskLost() { counter(TasksLostTotal).Increment(); }

void DaemonMetrics::setTasks(TaskState State, std::uint64_t Count) {
  gauge(Tasks, {{"state", std::string(taskStateName(State))}})
      .Set(static_cast<double>(Count));
}

void DaemonMetrics::tickDecided(Seconds Elapsed) {
  histogram(DecisionSeconds).Observe(Elapsed.count());
}

void DaemonMetrics::tickCommitted(Seconds Elapsed) {
  histogram(CommitSeconds).Observe(Elapsed.count());
}

void DaemonMetrics::setPackingRatio(ResourceKind Resource, double Fraction) {
  gauge(PackingRatio, {{"resource", lookupName(ResourceNames, Resource)}})
      .Set(Fraction);
}

void DaemonMetrics::setShareDistance(const TeamName &Team, double Distance) {
  const std::scoped_lock Lock(Mutex);
  teamGauge(ShareDistance, Team).Set(Distance);
}

void DaemonMetrics::storeRead(StoreKind Store, Seconds Elapsed) {
  const Labels LabelValues = {{"store", lookupName(StoreNames, Store)}};
  counter(StoreReadsTotal, LabelValues).Increment();
  histogram(StoreSeconds, LabelValues).Observe(Elapsed.count());
}

void DaemonMetrics::storeWritten(StoreKind Store, Seconds Elapsed) {
  const Labels LabelValues = {{"store", lookupName(StoreNames, Store)}};
  counter(StoreWritesTotal, LabelValues).Increment();
  histogram(StoreSeconds, LabelValues).Observe(Elapsed.count());
}

void DaemonMetrics::storeFailed(StoreKind Store) {
  counter(StoreErrorsTotal, {{"store", lookupName(StoreNames, Store)}})
      .Increment();
}

void DaemonMetrics::addBytes(ByteDirection Direction, std::uint64_t Count) {
  counter(NetworkBytesTotal,
          {{"direction", lookupName(DirectionNames, Direction)}})
      .Increment(static_cast<double>(Count));
}

void DaemonMetrics::setLeasesHeld(LeaseKind Kind, std::uint64_t Count) {
  gauge(LeasesHeld, {{"kind", lookupName(LeaseNames, Kind)}})
      .Set(static_cast<double>(Count));
}

void DaemonMetrics::setAuthorityLeft(Seconds Left) {
  gauge(AuthoritySeconds).Set(Left.count());
}

void DaemonMetrics::authorityExtended() {
  counter(AuthorityExtensionsTotal).Increment();
}

void DaemonMetrics::sessionFenced() {
  counter(SessionsFencedTotal).Increment();
}

void DaemonMetrics::shardTakenOver() {
  counter(ShardsTakenOverTotal).Increment();
}

void DaemonMetrics::setWorkers(WorkerCondition Condition, std::uint64_t Count) {
  gauge(Workers, {{"condition", lookupName(ConditionNames, Condition)}})
      .Set(static_cast<double>(Count));
}

void DaemonMetrics::setConfig(std::uint64_t Version, TimePoint Since) {
  const std::scoped_lock Lock(Mutex);
  gauge(ConfigVersion).Set(static_cast<double>(Version));
  ConfigSince = Since;
  HasConfig = true;
}

void DaemonMetrics::setReady(bool IsReady) {
  gauge(Ready).Set(IsReady ? 1 : 0);
}

void DaemonMetrics::setLogLinesSuppressed(std::uint64_t Count) {
  const std::scoped_lock Lock(Mutex);
  raiseCounterTo(LogLinesSuppressedTotal, static_cast<double>(Count));
}

void DaemonMetrics::setClientsRefused(std::string_view Cause,
                                      std::uint64_t Count) {
  const std::scoped_lock Lock(Mutex);
  raiseCounterTo(ClientsRefusedTotal, static_cast<double>(Count),
                 {{"cause", std::string(Cause)}});
}

void DaemonMetrics::retainTeams(const std::set<TeamName> &Teams) {
  const std::scoped_lock Lock(Mutex);
  std::erase_if(TeamGauges, [&](const auto &Entry) {
    const auto &[Metric, Team] = Entry.first;
    if (Teams.contains(Team))
      return false;
    Gauges.at(Metric)->Remove(Entry.second);
    return true;
  });
}

std::string DaemonMetrics::serialize() {
  refresh();
  std::ostringstream Out;
  prometheus::TextSerializer().Serialize(Out, Registry.Collect());
  return Out.str();
}

prometheus::Counter &DaemonMetrics::counter(std::size_t Metric,
                                            const Labels &LabelValues) {
  return Counters.at(Metric)->Add(LabelValues);
}

prometheus::Gauge &DaemonMetrics::gauge(std::size_t Metric,
                                        const Labels &LabelValues) {
  return Gauges.at(Metric)->Add(LabelValues);
}

prometheus::Histogram &DaemonMetrics::histogram(std::size_t Metric,
                                                const Labels &LabelValues) {
  return Histograms.at(Metric)->Add(LabelValues, buckets());
}

// Precondition: the caller holds Mutex, so that retainTeams() cannot remove the
// gauge while it is being set.
prometheus::Gauge &DaemonMetrics::teamGauge(std::size_t Metric,
                                            const TeamName &Team) {
  prometheus::Gauge *&Known = TeamGauges[{Metric, Team}];
  if (!Known)
    Known = &gauge(Metric, {{"team", Team}});
  return *Known;
}

void DaemonMetrics::registerAll() {
  for (std::size_t Metric = 0; Metric < MetricCount; ++Metric) {
    const std::string Name(MetricsRows[Metric].Name);
    const std::string Help(MetricsRows[Metric].Help);
    switch (MetricsRows[Metric].Type) {
    case MetricType::Counter:
      Counters[Metric] =
          &prometheus::BuildCounter().Name(Name).Help(Help).Register(Registry);
      break;
    case MetricType::Gauge:
      Gauges[Metric] =
          &prometheus::BuildGauge().Name(Name).Help(Help).Register(Registry);
      break;
    case MetricType::Histogram:
      Histograms[Metric] =
          &prometheus::BuildHistogram().Name(Name).Help(Help).Register(
              Registry);
      break;
    }
  }
}

void DaemonMetrics::refresh() {
  const std::scoped_lock Lock(Mutex);
  refreshProcessUsage();
  if (!HasConfig)
    return;
  const Seconds Age = Time.now() - ConfigSince;
  gauge(ConfigAgeSeconds).Set(Age.count());
}

void DaemonMetrics::refreshProcessUsage() {
  raiseCounterTo(CpuSecondsTotal, processCpuSeconds());
  gauge(ResidentBytes).Set(processResidentBytes());
}

// Precondition: the caller holds Mutex. Otherwise two threads could both add
// the same difference.
void DaemonMetrics::raiseCounterTo(std::size_t Metric, double Total,
                                   const Labels &Values) {
  prometheus::Counter &Target = counter(Metric, Values);
  Target.Increment(std::max(0.0, Total - Target.Value()));
}

} // namespace apricotwing
