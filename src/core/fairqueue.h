/// \file
/// Queue of the requests that wait for one upstream, with weighted fair
/// queueing among teams.
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

/// A queued request. Within a team the request with the earliest deadline is
/// served first.
struct QueueEntry {
  TimePoint Deadline;
  std::uint64_t Sequence = 0; ///< Unique; increases with each submission.
  bool Charged = false;       ///< A retry: an earlier send has already advanced
                              ///< the team's virtual time.

  friend bool operator<(const QueueEntry &Left, const QueueEntry &Right) {
    if (Left.Deadline != Right.Deadline)
      return Left.Deadline < Right.Deadline;
    return Left.Sequence < Right.Sequence;
  }
};

/// Divides an upstream among teams in proportion to their shares, regardless of
/// the number of requests that each has queued. Each team has a virtual time
/// that advances by 1/share with each request served; the team with the lowest
/// virtual time is served next. Owned by a RequestRouter. Not thread-safe.
class FairQueue {
public:
  /// Returns true if the team may run one more request.
  using TeamCheck = std::function<bool(const TeamName &)>;
  /// Tries to send a request; returns true if it was sent, which removes it
  /// from the queue.
  using TrySend = std::function<bool(const QueueEntry &)>;

  /// Adds a request of \p Team, whose weight is \p Share.
  void push(const TeamName &Team, std::uint32_t Share, const QueueEntry &Entry);

  /// Removes a request; returns false if it is not queued.
  bool remove(const TeamName &Team, const QueueEntry &Entry);

  /// Offers requests to \p Send in fair order until one is sent. Returns false
  /// if none was sent. Teams for which \p MayRun returns false are skipped;
  /// this does not change their share of later service.
  bool serveOne(const TeamCheck &MayRun, const TrySend &Send);

  /// Returns the queued request of \p Team with the latest deadline; empty if
  /// there is none.
  std::optional<QueueEntry> latest(const TeamName &Team) const;

  /// Returns how many queued requests of \p Team precede a new one with
  /// \p Deadline.
  std::size_t countAhead(const TeamName &Team, TimePoint Deadline) const;

  /// Returns the number of queued requests of all teams.
  std::size_t size() const { return Size; }

  /// Returns the fraction of the upstream, between 0 and 1, that \p Team with
  /// \p Share receives as long as every team that has requests queued now keeps
  /// having some.
  double fraction(const TeamName &Team, std::uint32_t Share) const;

private:
  struct TeamQueue {
    std::uint64_t Index = 0; ///< Breaks ties between equal virtual times.
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
  /// Teams with queued requests, in ascending order of virtual time.
  std::map<Key, std::map<TeamName, TeamQueue>::iterator> Active;
  double VirtualTime = 0; ///< Of the team served last.
  std::uint64_t ActiveShares = 0;
  std::size_t Size = 0;
};

} // namespace apricotwing

#endif
