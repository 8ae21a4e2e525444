/// \file
/// Functions shared by the commands that read or change the configuration.
#ifndef APRICOTWING_CLI_PROPOSAL_H
#define APRICOTWING_CLI_PROPOSAL_H

#include "cli/command.h"
#include "core/config.h"

#include <cstdint>
#include <vector>

namespace apricotwing {

/// Fetches the configuration in force, without the hashes of keys. Throws
/// Error. Not thread-safe.
Config readConfig(Invocation &Call);

/// Proposes \p Changes to version \p Base of the configuration. Prints the
/// proposal's id and the commands with which the other co-owner signs it.
/// Throws Error. Not thread-safe.
ExitCode propose(Invocation &Call, std::uint64_t Base,
                 const std::vector<ConfigChange> &Changes);

/// Describes \p Change in one line, with the old values from \p Current and the
/// new ones. Thread-safe.
std::string describeChange(const Config &Current, const ConfigChange &Change);

/// Returns the configuration of \p Team in \p Current. Throws Error(NotFound)
/// if the team does not exist. Thread-safe.
const TeamConfig &requireTeam(const Config &Current, const TeamName &Team);

} // namespace apricotwing

#endif
