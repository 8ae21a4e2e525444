/// \file
/// The scheduling leader of a shard.
#ifndef APRICOTWING_CELL_LEADER_H
#define APRICOTWING_CELL_LEADER_H

#include "cell/advicedispatcher.h"
#include "cell/callbackguard.h"
#include "cell/callservice.h"
#include "cell/journal.h"
#include "cell/messagelink.h"
#include "cell/messages.h"
#include "cell/ports.h"
#include "cell/progressrows.h"
#include "cell/settingsrows.h"
#include "cell/shardlayout.h"
#include "cell/stateloader.h"
#include "cell/tablewatcher.h"
#include "cell/timing.h"
#include "cell/workertransfer.h"
#include "jobs/clusterpolicy.h"
#include "jobs/jobscheduler.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace apricotwing::cell {

/// Accepts and stores the jobs of a shard, runs the scheduler and sends its
/// orders to the members, which supervise the workers. After a takeover it
/// rebuilds its state from the store, which has the jobs and ended runs, and
/// from the workers, which know the active runs. The first leader of shard 0
/// also decides on the layout of the cell. Owned by a ShardAgent while it leads
/// and used on its thread only.
class Leader {
public:
  struct Ports {
    MetadataStore &Store;
    const PlatformRecords &Records;
    PeerTransport &Peers;
    const Clock &Time;
    const WallClock &WallTime;
    EventLog &Log;
    const Timing &Times;
    /// Called when this leader has stored the layout of a new cell, or found it
    /// in the store.
    std::function<void(const ShardLayout &)> LayoutDecided;
  };

  /// Starts a term in shard \p Shard whose leader record \p Record was written
  /// with the version \p Version, by a transaction that was sent at \p SentAt.
  Leader(const Ports &Deps, int Shard, const LeaderRecord &Record,
         std::int64_t Version, TimePoint SentAt);

  /// Sets the layout of the cell. Until then no worker is used and no call is
  /// answered.
  void setLayout(const ShardLayout &NewLayout);

  /// Sets how many shards with a lower number this instance leads.
  void setLowerShardsLed(int Count) { LowerShardsLed = Count; }

  /// Sets the evacuated zones. Drops the unsent orders to workers there.
  void setEvacuatedZones(const std::set<std::string> &Zones);

  /// Sets the time for which the operators' rows are known. See
  /// Timing::EvacuatesZones.
  void setOperatorRowsKnownUntil(TimePoint Until) {
    OperatorRowsKnownUntil = Until;
  }

  /// Applies a policy.
  void setPolicy(const jobs::ClusterPolicy &NewPolicy);

  /// Handles a message from a member and returns the reply; empty while the
  /// lease is not valid, so that the member sends the message again.
  std::optional<EnvelopeReply> receive(const Envelope &Message);

  /// Answers calls of callers; \p Respond is called exactly once, at the latest
  /// when this object is destroyed.
  void serveCalls(const CallBatch &Batch, BatchResponder Respond) {
    Calls.serve(Batch, std::move(Respond));
  }

  /// Performs all work that is due. Must be called frequently.
  void pump();

  /// True if the store does not accept this instance's commits while it answers
  /// another instance.
  bool shouldResign() const;

  /// Hands over the leadership: stops all decisions and clears the leader
  /// record.
  void stepDown();

  /// True once another instance leads or may lead.
  bool isDeposed() const { return StateJournal.isDeposed(); }

  std::int64_t term() const { return Record.Term; }
  const jobs::JobScheduler &scheduler() const { return Scheduler; }
  const Journal &journal() const { return StateJournal; }
  std::size_t memberCount() const { return Members.size(); }
  bool isLoaded() const { return Loaded; }

  /// Number of runs in this term that were lost with their worker, and of jobs
  /// that failed because workers crashed under a task or its attempts were used
  /// up.
  std::uint64_t lostRuns() const { return LostRuns; }
  std::uint64_t failedJobs() const { return FailedJobs; }

  /// Number of jobs that were refused because of the memory of jobs.
  std::uint64_t jobsRefusedForMemory() const { return Calls.memoryRefusals(); }

  /// Longest time for which a run has had to end without being known to have
  /// ended; zero if there is none.
  Duration longestStop() const;

  /// Number of workers that the member \p Name supervises; 0 if there is no
  /// such member.
  std::size_t workersOf(const std::string &Name) const {
    const auto Found = Members.find(Name);
    return Found == Members.end() ? 0 : Found->second.Workers.size();
  }

private:
  struct MemberState {
    InstanceInfo Info;
    std::string Session;
    std::unique_ptr<MessageSender> Sender;
    MessageReceiver Receiver;
    LeaderMessage Outgoing;
    TimePoint LastReceivedAt;
    std::set<std::string> Workers;
    bool Leaving = false;
    TimePoint JoinedAt;
    TimePoint StoreAnsweredAt; ///< Last store response to the member.
    bool Guest = false;        ///< Belongs to another shard.
    bool FreezesLeases = false;
    int OtherShardsLed = 0; ///< That its instance leads.
  };
  /// State of a worker that the scheduler does not track.
  struct WorkerState {
    jobs::WorkerInfo Info;
    bool Registered = false; ///< The registry contains it.
    TimePoint UnregisteredSince;
    /// Another process that the registry names under its id, if any.
    std::optional<jobs::WorkerInfo> NextProcess;
    /// Time of its last response that is known here.
    std::optional<TimePoint> AnsweredAt;
    bool InRoster = false; ///< The stored roster contains it.
    bool RosterPending = false;
    std::string Member; ///< Name of the supervising member; empty: none.
    std::int64_t Token = 0;
    /// Latest end of leases granted by earlier sessions, or set by calls to a
    /// former process.
    TimePoint MaxLeaseEnd;
    /// Latest end of a lease that calls to a former process may have set. Empty
    /// if there may be such calls and no session has had an answer of this
    /// process yet: they have no effect after it.
    std::optional<TimePoint> FormerLeaseEnd;
    /// No session extends its lease beyond MaxLeaseEnd before it is released,
    /// and the roster may have that time.
    bool LeaseFrozen = false;
    /// Runs whose start may have been sent and is not confirmed, with the
    /// latest time at which it was.
    std::map<std::pair<std::string, std::int64_t>, TimePoint> UnconfirmedStarts;
    /// The commit before the release is under way.
    bool ReleasePending = false;
    bool Answers = false;  ///< It answered the last call of its session.
    TimePoint AssignAfter; ///< Earliest reassignment after its process ended.
    bool Resolved = false; ///< Synced in this term, or its lease expired.
    bool StopAnnounced = false; ///< The registry has shown it as draining.
    /// Its address refused connections, or another worker answered there, when
    /// its lease expired.
    bool AbsentAtExpiry = false;

    /// Why its runs are over if its process is; \p Unannounced unless it had
    /// announced that.
    jobs::WorkerLoss causeOfLoss(jobs::WorkerLoss Unannounced) const {
      return StopAnnounced ? jobs::WorkerLoss::Announced : Unannounced;
    }
  };

  /// Where time went since the last line on the load.
  struct StageTimes {
    std::uint64_t Rounds = 0;
    Duration InRounds{0};
    std::uint64_t Starts = 0;
    Duration StartsStored{0}; ///< From the decision until it was stored.
    std::uint64_t AdviceAnswers = 0;
    Duration AdviceDelay{0}; ///< Beyond the calls themselves.
  };

  void restoreJobs(StoredState Stored);
  void restoreEnded(const std::string &Id, jobs::JobPhase Phase);
  void onAllLoaded();
  void proposeLayout();
  bool isOwnWorker(const std::string &Id) const;
  bool mayUseWorkers() const;
  void onTransfers(const std::vector<StoredRow> &Rows);
  void exchangeLoads(TimePoint Now);
  void transferWorkers(const ShardLoad &Own, TimePoint Now);
  void transferWorker(const std::string &Id, int To);
  bool isIdle(const WorkerState &Worker) const;

  void onRegistrySnapshot(const std::vector<StoredRow> &Rows);
  void onRegistryChanges(const std::vector<StoredRow> &Rows);
  void applyRegistryRow(const StoredRow &Row);
  void updateWorkerInfo(const jobs::WorkerInfo &Info);
  void announceNextProcess(WorkerState &Worker, const jobs::WorkerInfo &Next);
  void replaceEndedProcesses();
  void markUnregistered(WorkerState &Worker);
  void removeUnregistered();
  void removeWorker(const std::string &Id, jobs::WorkerLoss Cause,
                    jobs::LossEvidence Evidence);
  void recordEnds(const WorkerReport &Report);
  jobs::LossProof proofOf(const WorkerState &Worker,
                          jobs::LossEvidence Evidence) const;
  void logLostRuns(const WorkerState &Worker,
                   std::int64_t OtherStartUnixMs = 0);
  void logGivenUpEnds();

  void onWorkerReport(MemberState &From, const WorkerReport &Report);
  void ensureInRoster(const WorkerReport &Report, WorkerState &Worker);
  void storeRosterEntry(const WorkerState &Worker);
  /// Number of starts that no worker is known to have confirmed.
  std::size_t countUnconfirmedStarts() const;
  std::vector<UnconfirmedStart>
  unconfirmedStarts(const WorkerState &Worker,
                    const std::function<std::int64_t(TimePoint)> &Encode) const;
  void updateReachable(const WorkerState &Worker);
  void restoreLeaseEnd(const RosterEntry &Entry);
  void restoreUnconfirmedStarts(const RosterEntry &Entry);
  /// Latest time at which a member sends an order of the leader to its worker.
  TimePoint latestSendOf(TimePoint Dispatched) const;
  void forgetStart(const jobs::WorkerIncarnation &Incarnation,
                   const std::string &Task, std::int64_t Run);
  void noteUnconfirmed(const WorkerReport &Report, WorkerState &Worker);
  TimePoint longestLeaseFrom(TimePoint Answer) const;
  void noteContact(WorkerState &Worker);
  bool mayHaveBeenCalled(const std::string &Id) const;
  void freezeLease(WorkerState &Worker, Duration Remaining);
  void releaseLease(WorkerState &Worker);
  void onReleaseStored(const jobs::WorkerIncarnation &Incarnation);
  void acknowledge(const WorkerReport &Report);
  void onAdviceAnswer(MemberState &From, const AdviceAnswer &Answer);

  void restoreUsage(const StoredUsage &Stored);
  void storeUsage(TimePoint Now);
  void logUsage(TimePoint Now);
  void storeSettings();
  void storeChangedJobs();
  void storeConfirmations(TimePoint Now);
  void checkMembers();
  bool isLost(const MemberState &Member) const;
  EnvelopeReply accept() const;
  bool isFull() const;
  static double effectiveShare(const MemberState &Member);
  std::size_t joinPeriodQuota() const;
  void updateSupervisors();
  void updateContacts(TimePoint Now);
  void updateAdvisers();
  const MemberState *bestSuccessor() const;
  bool shouldTransferLeadership() const;
  void removeMember(const std::string &Name);
  static void withdrawAssignment(LeaderMessage &Message,
                                 const jobs::WorkerIncarnation &Worker);
  /// Latest end of a lease that a member may extend without its leader, if they
  /// were last in contact at \p LastContact.
  TimePoint latestGrantFrom(TimePoint LastContact) const;
  void assumeLeased(WorkerState &Worker, TimePoint LastContact) const;
  void releaseFromMember(const std::string &Worker);
  void assignWorkers();
  MemberState *selectSupervisor(const WorkerState &Worker);
  double loadOf(const MemberState &Member, std::size_t MoreWorkers) const;
  void rebalanceWorkers();
  bool moveOneWorker(MemberState &From);
  void logZone(std::string_view Event, const std::string &Zone);
  void dropUnsentOrders();
  bool mayStart() const;
  void decide();
  void dispatch(const jobs::Decisions &Result);
  void logStop(std::string_view Event, const jobs::StopCommand &Order);
  std::size_t runsToStopOn(const WorkerState &Worker) const;
  void logOverdueStops(TimePoint Now);
  void logWaitingSteps(TimePoint Now);
  void sendStart(const jobs::StartCommand &Order);
  void dispatchAdvice(const jobs::AdviceRequest &Request);
  void removeExpiredJobs(TimePoint Now);
  void logLoad(TimePoint Now);
  void logObstacle(TimePoint Now);
  std::string composeMessage(MemberState &To, std::int64_t Sequence);
  MemberState *supervisorOf(const jobs::WorkerIncarnation &Incarnation);

  const Ports Deps;
  const int Shard;
  const LeaderRecord Record;
  Journal StateJournal;
  jobs::JobScheduler Scheduler;
  CallService Calls;
  AdviceDispatcher Dispatcher;
  TableWatcher Registry;
  StateLoader Loader;
  std::map<std::string, MemberState> Members; ///< By instance name.
  /// Names of members that supervise workers.
  std::set<std::string> Supervisors;
  /// More members of the last term may still join. Until then the first ones
  /// must not get all workers, in particular not the leader's own instance,
  /// which needs its CPU time for decisions.
  bool Joining = true;
  /// Addresses that members ask for the leader while the store does not answer.
  std::vector<std::string> Contacts;
  TimePoint NextContactsUpdate;
  /// Names of members that make calls for advice.
  std::set<std::string> Advisers;
  std::map<std::string, WorkerState> WorkerStates; ///< By worker id.
  /// When workers were removed, by id; for Timing::MaxCallDelay.
  std::map<std::string, TimePoint> RemovedAt;
  std::int64_t LastToken = 0;
  const TimePoint TermStartedAt;

  bool Loaded = false;
  bool RegistryRead = false;
  std::int64_t PolicyVersion = 0; ///< 0: no policy is known yet.
  TimePoint OperatorRowsKnownUntil;
  SettingsRows StoredSettings;
  ProgressRows JobRows;

  /// Set once the layout is known.
  std::optional<WorkerOwnership> Ownership;
  /// Watches the transfers of workers; null in a cell with one shard.
  std::unique_ptr<TableWatcher> Transfers;
  bool TransfersRead = false;
  /// Last registry rows of workers of other shards, by id. A worker may be
  /// transferred to this shard at any time.
  std::map<std::string, StoredRow> ForeignRows;
  struct KnownLoad {
    ShardLoad Load;
    TimePoint ReadAt;
  };
  std::map<int, KnownLoad> OtherLoads; ///< By shard.
  TimePoint NextLoadExchange;
  bool LayoutProposed = false;
  TimePoint LastNewWorker; ///< When the registry last showed a new worker.
  int LowerShardsLed = 0;
  double LargestCpuShare = 0; ///< Of all members; 0: not determined yet.

  bool DecisionNeeded = true;
  TimePoint LastDecision;
  TimePoint NextDecision; ///< Postponed after a long round.
  TimePoint NextMaintenance;
  TimePoint NextJobExpiry;
  TimePoint NextRebalance;
  TimePoint NextLoadLog;
  TimePoint NextUsageStore;
  TimePoint NextUsageLog;
  TimePoint NextObstacleLog;
  TimePoint NextOverdueStopLog;
  TimePoint NextWaitingStepLog;
  std::uint64_t LostRuns = 0;
  std::uint64_t FailedJobs = 0;
  StageTimes Stages;
  int MovedWorkers = 0; ///< Moved to another member since the last log line.
  CallbackGuard Guard;
};

} // namespace apricotwing::cell

#endif
