/// \file
/// Snapshot of a daemon's state for diagnosis.
#ifndef APRICOTWING_DAEMON_STATEDUMP_H
#define APRICOTWING_DAEMON_STATEDUMP_H

#include "core/grantledger.h"
#include "core/requestrouter.h"
#include "core/sessionmanager.h"
#include "daemon/shardrunner.h"

#include <map>
#include <string>
#include <vector>

namespace apricotwing {

/// State of a daemon, collected at one point in time.
struct StateDump {
  SessionId Session;
  std::string Zone;
  bool Ready = false;
  bool Draining = false;
  std::uint64_t ConfigVersion = 0;
  Duration AuthorityLeft{0}; ///< Negative if the authority has ended.
  /// Time since the last contact, by dependency; negative if there was none.
  std::map<std::string, Duration> SinceContact;
  std::vector<SessionRecord> Members;
  std::vector<ShardStatus> Shards;
  std::map<std::string, UnitAmounts> Grants; ///< By pool.
  RouterStats Requests;
  std::uint64_t TableReads = 0;
  std::uint64_t TableWrites = 0;
};

/// Serializes \p Dump as JSON. Thread-safe.
std::string encodeStateDump(const StateDump &Dump);

} // namespace apricotwing

#endif
