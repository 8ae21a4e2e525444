/// \file
/// The instance that decides for the whole cell.
#ifndef APRICOTWING_CELL_LEADER_H
#define APRICOTWING_CELL_LEADER_H

#include "cell/advicedesk.h"
#include "cell/journal.h"
#include "cell/lifetime.h"
#include "cell/maillink.h"
#include "cell/mailpacer.h"
#include "cell/messages.h"
#include "cell/ports.h"
#include "cell/stateloader.h"
#include "cell/tablefollower.h"
#include "cell/timing.h"
#include "jobs/admissioncontroller.h"
#include "jobs/clusterpolicy.h"
#include "jobs/jobscheduler.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace apricotwing::cell {

/// Accepts jobs, stores them, has the scheduler decide and hands its orders to
/// the members, each of which looks after some of the workers. Rebuilds its
/// state at a takeover from the store, which knows jobs and ends, and from the
/// workers, which know what runs. Owned by the Node while it leads; used on
/// its thread only.
class Leader {
public:
  struct Ports {
    MetadataStore &Store;
    const PlatformRecords &Records;
    PeerTransport &Peers;
    const Clock &Time;
    const WallClock &Calendar;
    EventLog &Log;
    const Timing &Times;
  };

  /// Takes office after \p Own was written with version \p Version by a
  /// transaction sent at \p SentAt.
  Leader(const Ports &Use, const LeaderRecord &Own, std::int64_t Version,
         TimePoint SentAt);

  /// Puts a policy in force.
  void setPolicy(const jobs::ClusterPolicy &Next);

  /// Takes mail from a member; empty while there is no authority to answer.
  std::optional<Receipt> receive(const Envelope &Mail);

  /// Does what is due. To be called often.
  void pump();

  /// True if the store does not take this instance's commits, while it answers
  /// some other instance.
  bool shouldResign() const;

  /// Hands the office over: no more decisions, and the record is cleared.
  void stepDown();

  /// True once another instance leads or may lead.
  bool isDeposed() const { return Writer.isDeposed(); }

  std::int64_t term() const { return Own.Term; }
  const jobs::JobScheduler &scheduler() const { return Scheduler; }
  const Journal &journal() const { return Writer; }
  std::size_t memberCount() const { return Members.size(); }
  bool isLoaded() const { return Loaded; }

private:
  struct MemberState {
    InstanceInfo Info;
    std::string Session;
    std::unique_ptr<MailSender> Sender;
    MailReceiver Receiver;
    LeaderMail Outgoing;
    TimePoint LastHeard;
    std::set<std::string> Workers;
    bool Leaving = false;
    TimePoint JoinedAt;
    TimePoint StoreAnsweredAt; ///< When the store last answered the member.
    Duration ToldGap{0}; ///< Least time between its mails, as it was told.
  };
  /// What the leader knows of a worker besides the scheduler.
  struct Care {
    jobs::WorkerInfo Info;
    bool Listed = false; ///< The registry names it.
    TimePoint UnlistedSince;
    bool InRoster = false; ///< Stored as possibly running something.
    bool RosterPending = false;
    std::string Member; ///< Name of the member in charge.
    std::int64_t Token = 0;
    TimePoint LeaseBound;  ///< No earlier holder's lease lasts longer.
    TimePoint AssignAfter; ///< Pause after a session that ended.
    bool Settled = false;  ///< Synced or lapsed in this term.
  };

  void restoreJobs(const StoredState &Stored);
  void restoreEnded(const std::string &Id, jobs::JobPhase Phase);
  void serveDeferred();

  void registryReplaced(const std::vector<StoredRow> &Rows);
  void registryChanged(const std::vector<StoredRow> &Rows);
  void registryRow(const StoredRow &Row);
  void unlist(Care &Entry);
  void expireUnlisted();
  void forgetWorker(const std::string &Id);

  void submit(MemberState &From, const Submission &Handed);
  void submitted(const std::string &Member, const std::string &Session,
                 std::uint64_t Tag, SubmitResult Result);
  void query(MemberState &From, const Query &Asked);
  void answerQuery(const std::string &Member, const std::string &Session,
                   const Query &Asked);
  void workerReported(MemberState &From, const WorkerReport &Report);
  void synced(const WorkerReport &Report, Care &Entry);
  void acknowledge(const WorkerReport &Report);
  void adviceAnswered(MemberState &From, const AdviceAnswer &Answer);

  void storeChanges();
  void checkMembers();
  bool isLost(const MemberState &Entry) const;
  void updateCaretakers();
  Duration mailGapFor(const MemberState &To) const;
  const MemberState *largestMember() const;
  bool shouldHandOver() const;
  void closeMember(const std::string &Name);
  void releaseFromMember(const std::string &Worker);
  void assignWorkers();
  MemberState *memberFor(const Care &Entry);
  double loadOf(const MemberState &Entry, std::size_t MoreWorkers) const;
  void balanceWorkers();
  bool moveOneWorker(MemberState &From);
  void decide();
  void dispatch(const jobs::Decisions &Made);
  void sendStart(const jobs::StartCommand &Order);
  void dispatchAdvice(const jobs::AdviceRequest &Request);
  void forgetOldJobs(TimePoint Now);
  void logLoad(TimePoint Now);
  std::string compose(MemberState &To, std::int64_t Sequence);
  MemberState *memberInCharge(const jobs::WorkerIncarnation &Life);

  const Ports Use;
  const LeaderRecord Own;
  Journal Writer;
  jobs::JobScheduler Scheduler;
  jobs::AdmissionController Gate;
  AdviceDesk Desk;
  MailPacer Pacer;
  TableFollower Registry;
  StateLoader State;
  std::map<std::string, MemberState> Members; ///< By instance name.
  std::set<std::string> Caretakers;  ///< Members that look after workers.
  std::map<std::string, Care> Cares; ///< By worker id.
  std::map<std::string, std::vector<std::function<void()>>> Storing; ///< Jobs.
  std::int64_t LastToken = 0;
  const TimePoint TookOfficeAt;

  bool Loaded = false;
  bool RegistryRead = false;
  bool PolicyKnown = false;

  /// Calls that came before the state was loaded.
  std::vector<std::function<void()>> Deferred;

  bool Dirty = true;
  TimePoint LastDecision;
  TimePoint NextDecision; ///< Rounds that took long are further apart.
  TimePoint NextSweep;
  TimePoint NextForget;
  TimePoint NextBalance;
  TimePoint NextLoadLine;
  Lifetime Life;
};

} // namespace apricotwing::cell

#endif
