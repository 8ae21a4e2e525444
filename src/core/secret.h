/// \file
/// Keeps keys out of logs and error messages.
#ifndef APRICOTWING_CORE_SECRET_H
#define APRICOTWING_CORE_SECRET_H

#include <string>
#include <string_view>

namespace apricotwing {

/// Every generated key starts with this text, so that a key is recognised
/// wherever it turns up.
inline constexpr std::string_view KeyPrefix = "apricotwing-key-";

/// \p Text with every generated key and every bearer token replaced, and with
/// control characters replaced by spaces, so that the result is one line.
/// Thread-safe.
std::string redactSecrets(std::string_view Text);

} // namespace apricotwing

#endif
