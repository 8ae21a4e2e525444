/// \file
/// This process's session: registration, renewal, promises and shutdown.
#ifndef APRICOTWING_CORE_SESSIONMANAGER_H
#define APRICOTWING_CORE_SESSIONMANAGER_H

#include "core/authoritylease.h"
#include "core/authoritysettings.h"
#include "core/platform.h"
#include "core/promisetracker.h"
#include "core/records.h"
#include "core/tableservice.h"
#include "core/time.h"
#include "core/transactionids.h"

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace apricotwing {

/// The data that an instance publishes about itself in its session row.
struct InstanceIdentity {
  InstanceId Instance;
  std::string Address;     ///< "ip:port" for callers.
  std::string PeerAddress; ///< "ip:port" for other instances.
  std::string Zone;
};

/// A session row as it was read.
struct MemberRow {
  SessionRecord Record;
  RowVersion Version = 0;
};

/// Data read by the last successful round. Immutable once published.
struct SessionView {
  SessionId OwnSession;
  RowVersion OwnVersion = 0; ///< Of this process's session row.
  /// All session rows, including this process's.
  std::vector<MemberRow> Members;
  TimePoint ReadAt; ///< Time at which the rows had been read.
  std::shared_ptr<const Config> Current;
};

/// Outcome of a renewal round.
enum class RoundOutcome {
  Renewed,  ///< All steps succeeded; the lease has been renewed.
  NoConfig, ///< The table service works but has no configuration yet; see
            ///< ConfigLedger::bootstrap.
  Extended, ///< The table service failed, but all members gave a promise.
  Failed,   ///< The round failed and the lease was not extended.
};

struct RoundReport {
  RoundOutcome Outcome = RoundOutcome::Failed;
  /// The session that was found to be fenced or replaced, if any. The caller
  /// must drop everything that belongs to it: grants, shards and open
  /// proposals.
  std::optional<SessionId> LostSession;
  std::string Detail; ///< Reason for a failure, for the log.
};

/// Manages the session of this process. The session gives the process the
/// authority to act while its lease is valid. Created by the daemon. renew(),
/// leave() and remove() may be called on the renewal thread only; all other
/// methods are thread-safe and never block.
class SessionManager {
public:
  /// The references must outlive this object.
  SessionManager(TableService &Table, PeerClient &Peers,
                 const RecordCodec &Codec, const Clock &Time,
                 TransactionIds &Ids, InstanceIdentity Identity,
                 const AuthoritySettings &Settings);

  /// Runs one renewal round. Registers a session first if there is none. If the
  /// table service fails, or the round takes longer than 1/2 of
  /// AuthoritySettings::Valid, requests promises from the other members. Blocks
  /// for a few calls of the ports. If the timeout of the table service is at
  /// most 1/6 of Valid, a slow table service causes no gap in the authority.
  /// Does not throw Error. Renewal thread only.
  RoundReport renew();

  /// Makes the next rounds write the state "leaving". Renewal thread only.
  void leave();

  /// Ends the authority and deletes the session row. Precondition: the caller
  /// has released its shards and grants. Throws Error(StoreUnavailable) or
  /// Error(StoreUnknownOutcome); the call may be repeated. Renewal thread only.
  void remove();

  /// Handles a peer's promise request. Gives the promise only if this process
  /// could not reach the table service either. Lock-free and thread-safe.
  PeerPromise handlePromiseRequest(const InstanceId &From, Epoch SessionEpoch,
                                   TimePoint Now);

  /// Returns true while this process may act on its current session.
  /// Thread-safe.
  bool isValid(TimePoint Now) const;

  /// Returns true while this process may act on exactly the session \p Id.
  /// Anything obtained under a session must be checked with this method before
  /// it is used. Thread-safe.
  bool isValidFor(const SessionId &Id, TimePoint Now) const;

  /// Returns the end of the lease; TimePoint::min() if there is none.
  /// Thread-safe.
  TimePoint validUntil() const;

  /// Returns the start of the last successful round of the current session;
  /// TimePoint::min() if there was none. Thread-safe.
  TimePoint lastRenewal() const;

  /// Returns the current session; its epoch is 0 before the first registration
  /// and between two sessions. Thread-safe.
  SessionId sessionId() const;

  /// Returns the newest configuration read; null until one has been read. The
  /// version never decreases. Thread-safe.
  std::shared_ptr<const Config> config() const { return NewestConfig.load(); }

  /// Returns the data read by the last successful round; null before the first
  /// one. Thread-safe.
  std::shared_ptr<const SessionView> view() const { return View.load(); }

  /// Returns all session rows of the last successful round; empty before the
  /// first one. Thread-safe.
  std::vector<MemberRow> members() const;

  /// Returns the instances with live sessions in the last successful round,
  /// which are the candidates of rendezvous hashing. Thread-safe.
  std::vector<InstanceId> liveInstances() const;

  /// Returns the time of the last successful call to the table service;
  /// TimePoint::min() if there was none. Thread-safe.
  TimePoint lastStoreContact() const;

  /// Returns when each peer last responded to a promise request. Thread-safe.
  std::map<InstanceId, TimePoint> lastPeerContacts() const;

  /// Returns the tracker of promises and of the transactions that they exclude.
  /// Thread-safe.
  PromiseTracker &promises() { return Promises; }

  const AuthoritySettings &settings() const { return Settings; }

private:
  void registerSession();
  bool writeSession();
  bool adoptOwnRow();
  std::optional<RoundOutcome> readClusterState(TimePoint Start,
                                               std::uint64_t InDoubtBefore);
  std::shared_ptr<const Config> readConfig();
  std::vector<MemberRow> readMembers();
  void abandonSession(RoundReport &Report);
  bool collectPromises();
  bool isPromisedBy(const SessionRecord &Member);
  static bool hasEnded(const SessionView &Last, const SessionId &Id);
  void publishLease();
  void noteStoreContact();
  std::vector<SessionId> knownSessions() const;
  SessionRecord ownRecord(const std::vector<SessionId> &Known) const;

  TableService &Table;
  PeerClient &Peers;
  const RecordCodec &Codec;
  const Clock &Time;
  TransactionIds &Ids;
  const InstanceIdentity Identity;
  const AuthoritySettings Settings;

  // Renewal thread only.
  AuthorityLease Lease;
  RowVersion OwnVersion = 0;
  std::uint64_t Counter = 0;
  RowVersion ConfigRowVersion = 0;
  SessionState OwnState = SessionState::Live;
  std::map<InstanceId, TimePoint> PeerContacts;

  // Published to all threads.
  PromiseTracker Promises;
  std::atomic<Epoch> OwnEpoch{0};
  std::atomic<bool> LastRoundReachedStore{false};
  std::atomic<TimePoint::rep> ValidUntilMs;
  std::atomic<TimePoint::rep> LastRenewalMs;
  std::atomic<TimePoint::rep> StoreContactMs;
  std::atomic<std::shared_ptr<const Config>> NewestConfig;
  std::atomic<std::shared_ptr<const SessionView>> View;
  std::atomic<std::shared_ptr<const std::map<InstanceId, TimePoint>>>
      PublishedPeerContacts;
};

} // namespace apricotwing

#endif
