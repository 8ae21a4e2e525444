/// \file
/// The requests that wait for one upstream, served by weighted round robin.
#ifndef APRICOTWING_CORE_FAIRQUEUE_H
#define APRICOTWING_CORE_FAIRQUEUE_H

#include "core/run.h"
#include "core/time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>

namespace apricotwing {

/// A request in a queue. Within a team, the earliest deadline goes first.
struct QueueEntry {
  TimePoint Deadline;
  std::uint64_t Sequence = 0; ///< Unique; grows with each submission.
  bool Charged = false;       ///< Its team has paid for it: it is sent again.

  friend bool operator<(const QueueEntry &Left, const QueueEntry &Right) {
    if (Left.Deadline != Right.Deadline)
      return Left.Deadline < Right.Deadline;
    return Left.Sequence < Right.Sequence;
  }
};

/// Shares an upstream among teams in proportion to their shares, however many
/// requests each of them has waiting. Each team has a virtual time that
/// advances by 1/share with each request served; the team that lags most is
/// next. Owned by a RequestRouter. Not thread-safe.
class FairQueue {
public:
  /// True if the team may have one more request running.
  using TeamCheck = std::function<bool(const TeamName &)>;
  /// True if the request was sent; it then leaves the queue.
  using TrySend = std::function<bool(const QueueEntry &)>;

  /// Adds a request of \p Team, which has \p Share.
  void push(const TeamName &Team, std::uint32_t Share, const QueueEntry &Entry);

  /// Removes a request; false if it is not queued.
  bool remove(const TeamName &Team, const QueueEntry &Entry);

  /// Offers requests in the fair order until \p Send takes one. Returns false
  /// if none was taken. Teams for which \p MayRun is false are left out and do
  /// not lose or gain by that.
  bool serveOne(const TeamCheck &MayRun, const TrySend &Send);

  /// The request of \p Team that is due last; empty if there is none.
  std::optional<QueueEntry> latest(const TeamName &Team) const;

  /// Requests of \p Team that go before a new one with \p Deadline.
  std::size_t countAhead(const TeamName &Team, TimePoint Deadline) const;

  /// Requests of all teams.
  std::size_t size() const { return Size; }

  /// Part of the upstream that \p Team with \p Share gets while all teams that
  /// wait now go on waiting; between 0 and 1.
  double fraction(const TeamName &Team, std::uint32_t Share) const;

private:
  struct TeamQueue {
    std::uint64_t Index = 0; ///< Order of teams with equal virtual time.
    std::uint32_t Share = 1;
    double VirtualTime = 0;
    std::set<QueueEntry> Entries;
  };

  using Key = std::pair<double, std::uint64_t>;

  static Key keyOf(const TeamQueue &Queue) {
    return {Queue.VirtualTime, Queue.Index};
  }
  void charge(TeamQueue &Queue);
  void deactivate(const TeamQueue &Queue);

  std::map<TeamName, TeamQueue> Queues;
  /// Teams with requests, the one that lags most first.
  std::map<Key, std::map<TeamName, TeamQueue>::iterator> Active;
  double VirtualTime = 0; ///< Of the team served last.
  std::uint64_t ActiveShares = 0;
  std::size_t Size = 0;
};

} // namespace apricotwing

#endif
