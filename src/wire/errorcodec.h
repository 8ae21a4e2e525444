/// \file
/// JSON body of every error answer.
#ifndef APRICOTWING_WIRE_ERRORCODEC_H
#define APRICOTWING_WIRE_ERRORCODEC_H

#include "core/error.h"

#include <cstdint>
#include <optional>
#include <string>

namespace apricotwing {

/// Body for \p Failure; bytes that are not valid UTF-8 are replaced. A
/// conflict of the configuration also names the version in force, \p Current.
/// Thread-safe.
std::string encodeError(const Error &Failure,
                        std::optional<std::uint64_t> Current = std::nullopt);

/// The error that an answer with \p Status and \p Body stands for. A body of
/// another form gives a kind that fits the status, with outcome Unknown.
/// Does not throw. Thread-safe.
Error decodeError(int Status, const std::string &Body);

/// The version in force that a config_conflict names; empty if the body names
/// none. Does not throw. Thread-safe.
std::optional<std::uint64_t> decodeCurrentVersion(const std::string &Body);

} // namespace apricotwing

#endif
