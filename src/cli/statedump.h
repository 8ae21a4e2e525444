/// \file
/// Formatting of the state dump as text for people.
#ifndef APRICOTWING_CLI_STATEDUMP_H
#define APRICOTWING_CLI_STATEDUMP_H

#include <string>

namespace apricotwing {

/// Formats the JSON text of `GET /statez` as an indented outline with one value
/// per line. Accepts any JSON object or list, since the fields differ between
/// versions of the instances. Throws Error(Internal) for other text.
/// Thread-safe.
std::string formatStateDump(const std::string &Body);

} // namespace apricotwing

#endif
