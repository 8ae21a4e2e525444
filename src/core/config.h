/// \file
/// The cluster's configuration, on which both co-owners have to agree, and the
/// typed changes that lead from one version to the next.
#ifndef APRICOTWING_CORE_CONFIG_H
#define APRICOTWING_CORE_CONFIG_H

#include "core/run.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace apricotwing {

/// Upper limit on the work that a team may have running in the whole cluster.
struct TeamLimit {
  Resources Tasks;
  std::uint32_t Requests = 0; ///< Concurrent interactive requests.

  friend bool operator==(const TeamLimit &, const TeamLimit &) = default;
};

struct TeamConfig {
  std::uint32_t Share = 1; ///< Weight among teams when the cell is fully used.
  TeamLimit Limit;

  friend bool operator==(const TeamConfig &, const TeamConfig &) = default;
};

/// API key of a team. Only its SHA-256 hash is stored.
struct KeyConfig {
  TeamName Team;
  std::string Sha256; ///< 64 lower-case hexadecimal digits.

  friend bool operator==(const KeyConfig &, const KeyConfig &) = default;
};

struct UpstreamConfig {
  std::uint32_t Slots = 8;        ///< Concurrent requests per executor.
  std::uint32_t Connections = 64; ///< Connections per executor.

  friend bool operator==(const UpstreamConfig &,
                         const UpstreamConfig &) = default;
};

/// Policy for one kind of run.
struct PolicyConfig {
  std::uint32_t MaxWaitSeconds =
      0; ///< Wait that raises an alert; 0 disables it.

  friend bool operator==(const PolicyConfig &, const PolicyConfig &) = default;
};

/// One complete version of the configuration. A value type.
struct Config {
  std::uint64_t Version = 0;
  std::map<TeamName, TeamConfig> Teams;
  std::map<std::string, KeyConfig> Keys; ///< By key id.
  std::map<WorkerId, Labels> WorkerLabels;
  std::map<WorkerId, bool>
      DrainedWorkers; ///< A worker is drained if it has an entry.
  std::map<std::string, UpstreamConfig> Upstreams;
  std::map<RunKind, PolicyConfig> Policies;

  friend bool operator==(const Config &, const Config &) = default;

  /// Returns the team whose key has this SHA-256 hash; empty if there is none.
  /// Const access is thread-safe.
  std::optional<TeamName> teamOfKeyHash(std::string_view Sha256) const;
};

struct SetTeam {
  TeamName Team;
  TeamConfig Value;
};
struct RemoveTeam {
  TeamName Team;
};
struct AddKey {
  std::string Key; ///< Public id of the key.
  KeyConfig Value;
};
struct RevokeKey {
  std::string Key;
};
struct SetLabel {
  WorkerId Worker;
  std::string Label;
  std::string Value;
};
struct RemoveLabel {
  WorkerId Worker;
  std::string Label;
};
struct SetUpstream {
  std::string Upstream;
  UpstreamConfig Value;
};
struct RemoveUpstream {
  std::string Upstream;
};
struct SetPolicy {
  RunKind Kind = RunKind::Batch;
  PolicyConfig Value;
};
struct DrainWorker {
  WorkerId Worker;
};
struct UndrainWorker {
  WorkerId Worker;
};

/// One change of a proposal.
using ConfigChange =
    std::variant<SetTeam, RemoveTeam, AddKey, RevokeKey, SetLabel, RemoveLabel,
                 SetUpstream, RemoveUpstream, SetPolicy, DrainWorker,
                 UndrainWorker>;

/// Returns \p Base with \p Changes applied in order and the version incremented
/// by one. Throws Error(BadRequest) if a change refers to an object that does
/// not exist or if the result is invalid: a key of an unknown team, a share
/// outside 1..10000, a malformed hash, or a name that is empty, longer than 64
/// characters, or has characters other than letters, digits, '.', '_' and '-'.
/// Thread-safe.
Config applyChanges(const Config &Base,
                    const std::vector<ConfigChange> &Changes);

} // namespace apricotwing

#endif
