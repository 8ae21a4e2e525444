/// \file
/// Distributes calls to the placement advice service over the members.
#ifndef APRICOTWING_CELL_ADVICEDISPATCHER_H
#define APRICOTWING_CELL_ADVICEDISPATCHER_H

#include "core/time.h"
#include "jobs/jobscheduler.h"
#include "jobs/run.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace apricotwing::cell {

/// Tracks the open advice calls of each member. The advice service processes
/// the calls of one instance sequentially, so a member with a slow call gets no
/// other calls, and some members are reserved for fast calls. A member whose
/// call has failed gets none for a while, and then one at a time, if the other
/// members are occupied, until one is answered. A member with an overdue call
/// gets none until that call has ended. Owned by the leader and used on its
/// thread only.
class AdviceDispatcher {
public:
  /// Adds a member that may use the fraction \p CpuShare of a core, or updates
  /// the share of a known member.
  void add(const std::string &Member, double CpuShare);

  /// Removes a member and returns the steps whose open calls are lost, except
  /// those that were overdue.
  std::vector<std::string> remove(const std::string &Member);

  /// Returns how many calls can be made at \p Now.
  jobs::AdviceBudget budget(TimePoint Now) const;

  /// Selects a member for a call and records the call there. Returns its name,
  /// or nothing if no member is available.
  std::optional<std::string> assign(const jobs::AdviceRequest &Request,
                                    TimePoint Now);

  /// Records that the call for a step was answered.
  void complete(const std::string &Member, const std::string &Step,
                TimePoint Now);

  /// Records that the call for a step has failed.
  void fail(const std::string &Member, const std::string &Step, TimePoint Now);

  /// Records that the call for a step will not be made.
  void withdraw(const std::string &Member, const std::string &Step,
                TimePoint Now);

  /// Returns the steps whose calls have become overdue since the last check.
  /// Other members may be asked for them; their calls stay open.
  std::vector<std::string> expireCalls(TimePoint Now);

  /// When the open call for a step was assigned to a member; empty if there is
  /// none.
  std::optional<TimePoint> askedAt(const std::string &Member,
                                   const std::string &Step) const;

  /// True if a call for the step is open at any member and not overdue.
  bool isAsked(const std::string &Step) const;

  /// Number of open calls.
  std::size_t openCalls() const;

private:
  struct Call {
    TimePoint AskedAt;
    TimePoint Due;
    TimePoint OpenUntil; ///< The call has ended by then, and so has its report.
    bool Overdue = false;
  };
  struct Member {
    std::map<std::string, Call> Calls; ///< The open ones, by step.
    TimePoint BusyUntil;
    bool HasSlow = false; ///< Excludes all other calls until answered.
    double CpuShare = 1;
    bool TakesSlow = true;
    bool Small = false; ///< Has a far smaller CPU share than the largest.
    int Failures = 0;   ///< Consecutive failed calls, those of a pause as one.
    TimePoint PausedUntil;

    /// True if its last calls were answered and none is overdue.
    bool isSound() const { return Failures == 0 && !hasOverdueCall(); }
    bool hasOverdueCall() const;
    bool mayTake(bool SlowCall, TimePoint Now) const;
  };

  void classifyMembers();
  static void removeCall(Member &Entry, const std::string &Step, TimePoint Now);
  static void recordFailure(Member &Entry, TimePoint Now);

  std::map<std::string, Member> Members;
};

} // namespace apricotwing::cell

#endif
