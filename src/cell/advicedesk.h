/// \file
/// Shares the calls for placement advice out among the members.
#ifndef APRICOTWING_CELL_ADVICEDESK_H
#define APRICOTWING_CELL_ADVICEDESK_H

#include "core/time.h"
#include "jobs/jobscheduler.h"
#include "jobs/run.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace apricotwing::cell {

/// Knows which calls each member has under way. The advice service answers the
/// calls of one instance one after the other, so a slow call gets a member for
/// itself, and some members take fast calls only. Owned by the leader; used on
/// its thread only.
class AdviceDesk {
public:
  /// Adds a member with \p CpuShare of a core, or takes it in again.
  void add(const std::string &Member, double CpuShare);

  /// Removes a member; returns the steps whose calls are lost with it.
  std::vector<std::string> remove(const std::string &Member);

  /// What may be asked now.
  jobs::AdviceBudget budget(TimePoint Now) const;

  /// Chooses a member for a call and counts it there; empty if there is none.
  std::optional<std::string> assign(const jobs::AdviceRequest &Request,
                                    TimePoint Now);

  /// Notes that the call for a step was answered, or failed.
  void answered(const std::string &Member, const std::string &Step,
                TimePoint Now);

  /// Gives up calls that are overdue; returns their steps.
  std::vector<std::string> takeOverdue(TimePoint Now);

  /// Number of calls under way.
  std::size_t openCalls() const;

private:
  struct Member {
    std::map<std::string, TimePoint> Due; ///< Calls under way, by step.
    TimePoint BusyUntil;
    bool HasSlow = false; ///< No other call is made until it is answered.
    double CpuShare = 1;
    bool TakesSlow = true;
    bool Small = false; ///< Has far less processor time than the largest.
  };

  void rank();

  std::map<std::string, Member> Members;
};

} // namespace apricotwing::cell

#endif
