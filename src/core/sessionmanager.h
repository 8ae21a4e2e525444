/// \file
/// This process's session: registration, renewal, promises, leaving.
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

/// What an instance says about itself in its session row.
struct InstanceIdentity {
  InstanceId Instance;
  std::string Address;     ///< "ip:port" for callers.
  std::string PeerAddress; ///< "ip:port" for other instances.
  std::string Zone;
};

/// A session row as read.
struct MemberRow {
  SessionRecord Record;
  RowVersion Version = 0;
};

/// What the last successful round read. Immutable once published.
struct SessionView {
  SessionId OwnSession;
  RowVersion OwnVersion = 0;      ///< Of the own session row.
  std::vector<MemberRow> Members; ///< All session rows, the own one included.
  TimePoint ReadAt;               ///< After the rows had been read.
  std::shared_ptr<const Config> Current;
};

/// How a renewal round ended.
enum class RoundOutcome {
  Renewed,  ///< All parts succeeded; valid until round start + T.
  NoConfig, ///< The store works but holds no configuration; see
            ///< ConfigLedger::bootstrap.
  Extended, ///< The store failed; all members promised.
  Failed,   ///< The store failed and there is no extension.
};

struct RoundReport {
  RoundOutcome Outcome = RoundOutcome::Failed;
  /// The session that was found fenced or replaced. Everything tied to it has
  /// to be given up: grants, shards, open proposals of this session.
  std::optional<SessionId> LostSession;
  std::string Detail; ///< Why the round failed; for the log.
};

/// Owns the session of this process (design, section 4). Created by the
/// daemon. renew(), leave() and remove() belong to the renewal thread; all
/// other methods are thread-safe and never block.
class SessionManager {
public:
  /// The references must outlive this object.
  SessionManager(TableService &Table, PeerClient &Peers,
                 const RecordCodec &Codec, const Clock &Time,
                 TransactionIds &Ids, InstanceIdentity Identity,
                 const AuthoritySettings &Settings);

  /// One renewal round; registers first if there is no session. If the store
  /// fails or takes longer than T / 2, asks the members for promises. Blocks
  /// for a few calls of the ports; with a store timeout of at most T / 6 a
  /// slow store leaves no gap in the authority. Does not throw Error. Renewal
  /// thread only.
  RoundReport renew();

  /// The next rounds write the state "leaving". Renewal thread only.
  void leave();

  /// Ends the authority and deletes the session row. The caller has released
  /// shards and grants before. Throws Error(StoreUnavailable) or
  /// Error(StoreUnknownOutcome); the call may be repeated. Renewal thread
  /// only.
  void remove();

  /// Answers a peer that asks for a promise (design, "Store outage"). Safe
  /// on any thread without a lock.
  PeerPromise handlePromiseRequest(const InstanceId &From, Epoch SessionEpoch,
                                   TimePoint Now);

  /// True while this process may act on its present session. Thread-safe.
  bool isValid(TimePoint Now) const;

  /// True while this process may act on exactly the session \p Id. Anything
  /// obtained under a session must be checked with this. Thread-safe.
  bool isValidFor(const SessionId &Id, TimePoint Now) const;

  /// End of validity; TimePoint::min() if there is none. Thread-safe.
  TimePoint validUntil() const;

  /// Start of the last successful round of the present session;
  /// TimePoint::min() if none. Thread-safe.
  TimePoint lastRenewal() const;

  /// The present session; epoch 0 before the first registration and between
  /// two sessions. Thread-safe.
  SessionId sessionId() const;

  /// The newest configuration read, never a lower version than before; null
  /// until one has been read. Thread-safe.
  std::shared_ptr<const Config> config() const { return NewestConfig.load(); }

  /// What the last successful round read; null before. Thread-safe.
  std::shared_ptr<const SessionView> view() const { return View.load(); }

  /// All session rows of the last successful round; empty before.
  /// Thread-safe.
  std::vector<MemberRow> members() const;

  /// Instances of the live sessions of the last successful round, among which
  /// rendezvous hashing chooses. Thread-safe.
  std::vector<InstanceId> liveInstances() const;

  /// When a call to the store last succeeded; TimePoint::min() if never.
  /// Thread-safe.
  TimePoint lastStoreContact() const;

  /// When each peer last answered a question for a promise. Thread-safe.
  std::map<InstanceId, TimePoint> lastPeerContacts() const;

  /// Promises and the transactions they exclude. Thread-safe.
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
