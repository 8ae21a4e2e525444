/// \file
/// Removal of API keys from logs and error messages.
#ifndef APRICOTWING_CORE_SECRET_H
#define APRICOTWING_CORE_SECRET_H

#include <string>
#include <string_view>

namespace apricotwing {

/// Prefix of every generated key, by which redactSecrets() finds keys in any
/// text.
inline constexpr std::string_view KeyPrefix = "apricotwing-key-";

/// Returns \p Text with every generated key and bearer token replaced by a
/// placeholder. Control characters become spaces, so that the result is a
/// single line. Thread-safe.
std::string redactSecrets(std::string_view Text);

} // namespace apricotwing

#endif
