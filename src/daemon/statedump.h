/// \file
/// The dump of a daemon's state.
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

/// What a state dump shows, collected at one moment.
struct StateDump {
  SessionId Session;
  std::string Zone;
  bool Ready = false;
  bool Draining = false;
  std::uint64_t ConfigVersion = 0;
  Duration AuthorityLeft{0}; ///< Negative: ended.
  /// Time since the last contact by dependency; negative: never.
  std::map<std::string, Duration> SinceContact;
  std::vector<SessionRecord> Members;
  std::vector<ShardStatus> Shards;
  std::map<std::string, UnitAmounts> Grants; ///< By pool.
  RouterStats Requests;
  std::uint64_t TableReads = 0;
  std::uint64_t TableWrites = 0;
};

/// The dump as JSON text. Thread-safe.
std::string encodeStateDump(const StateDump &Dump);

} // namespace apricotwing

#endif
