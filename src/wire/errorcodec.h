/// \file
/// JSON bodies of error answers.
#ifndef APRICOTWING_WIRE_ERRORCODEC_H
#define APRICOTWING_WIRE_ERRORCODEC_H

#include "core/error.h"

#include <cstdint>
#include <optional>
#include <string>

namespace apricotwing {

/// Encodes \p Failure; bytes that are not valid UTF-8 are replaced. For a
/// configuration conflict, \p Current is the version in force. Thread-safe.
std::string encodeError(const Error &Failure,
                        std::optional<std::uint64_t> Current = std::nullopt);

/// Decodes the error in an answer with \p Status and \p Body. If the body is no
/// error body of this system, the kind is derived from the status and the
/// outcome is Unknown. Does not throw. Thread-safe.
Error decodeError(int Status, const std::string &Body);

/// Decodes the version in force from the body of a config_conflict; returns
/// std::nullopt if the body does not contain it. Does not throw. Thread-safe.
std::optional<std::uint64_t> decodeCurrentVersion(const std::string &Body);

} // namespace apricotwing

#endif
