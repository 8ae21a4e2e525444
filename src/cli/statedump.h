/// \file
/// Text form of the state dump for people.
#ifndef APRICOTWING_CLI_STATEDUMP_H
#define APRICOTWING_CLI_STATEDUMP_H

#include <string>

namespace apricotwing {

/// The JSON text of `GET /statez` as an indented outline, one value per line.
/// Any JSON is accepted, as instances of two versions differ in their fields.
/// Throws Error(Internal) if it is not JSON. Thread-safe.
std::string formatStateDump(const std::string &Body);

} // namespace apricotwing

#endif
