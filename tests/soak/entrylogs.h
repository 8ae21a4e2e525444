/// \file
/// What the logs of the entries say about a finding.
#ifndef APRICOTWING_SOAK_ENTRYLOGS_H
#define APRICOTWING_SOAK_ENTRYLOGS_H

#include "soak/entries.h"
#include "soak/runhistory.h"

namespace apricotwing::soak {

/// The last lines of an event that contain \p Subject, indented.
std::string lastLogLines(const Entries &Instances, const std::string &Event,
                         const std::string &Subject);

/// The lines that name the task, and those about the sessions and leases of
/// both workers around the two runs, indented.
std::string logLinesOf(const Entries &Instances, const RepeatedTask &Case);

} // namespace apricotwing::soak

#endif
