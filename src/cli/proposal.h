/// \file
/// What the commands that change the configuration have in common.
#ifndef APRICOTWING_CLI_PROPOSAL_H
#define APRICOTWING_CLI_PROPOSAL_H

#include "cli/command.h"
#include "core/config.h"

#include <cstdint>
#include <vector>

namespace apricotwing {

/// The configuration in force, without hashes of keys. Throws Error. Not
/// thread-safe.
Config readConfig(Invocation &Call);

/// Proposes \p Changes on top of version \p Base and prints the proposal's id
/// and how the other co-owner signs it. Throws Error. Not thread-safe.
ExitCode propose(Invocation &Call, std::uint64_t Base,
                 const std::vector<ConfigChange> &Changes);

/// \p Change as one line: what it sets and what \p Current has instead.
/// Thread-safe.
std::string describeChange(const Config &Current, const ConfigChange &Change);

/// The team \p Team of \p Current. Throws Error(NotFound). Thread-safe.
const TeamConfig &requireTeam(const Config &Current, const TeamName &Team);

} // namespace apricotwing

#endif
