/// \file
/// Reads what the last leader has stored.
#ifndef APRICOTWING_CELL_STATELOADER_H
#define APRICOTWING_CELL_STATELOADER_H

#include "cell/lifetime.h"
#include "cell/messages.h"
#include "cell/ports.h"
#include "jobs/job.h"

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace apricotwing::cell {

/// All that is needed to decide.
struct StoredState {
  std::map<std::string, jobs::JobSpec> Jobs;
  std::map<std::string, jobs::JobProgress> Progress;
  std::vector<RosterEntry> Roster;
};

/// Text that stores the end of a job.
std::string endText(jobs::JobPhase Phase);

/// Reads the tables of the cell at a takeover: first jobs, their progress and
/// the roster, then the jobs that have ended, which no decision needs. Owned
/// by the leader; used on its thread only.
class StateLoader {
public:
  struct Listener {
    std::function<void(StoredState)> Loaded;
    std::function<void(const std::string &Id, jobs::JobPhase Phase)> EndedJob;
    std::function<void()> AllRead;
  };

  StateLoader(MetadataStore &Store, const Clock &Time, EventLog &Log,
              Listener Owner);

  /// Starts the next reading if it is due. Does nothing once all is read.
  void pump();

  /// True once all tables are read.
  bool isDone() const { return Tables.empty(); }

private:
  void pageRead(const ReadResult &Page);
  bool takeRow(const StoredRow &Row);
  bool takeEnd(const StoredRow &Row);

  MetadataStore &Store;
  const Clock &Time;
  EventLog &Log;
  const Listener Owner;
  std::vector<std::string> Tables; ///< The last one is read next.
  std::string NextKey;
  bool InFlight = false;
  TimePoint RetryAt;
  StoredState State;
  Lifetime Life;
};

} // namespace apricotwing::cell

#endif
