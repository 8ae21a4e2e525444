/// \file
/// Digests and random identifiers.
#ifndef APRICOTWING_HTTPCLIENT_CRYPTO_H
#define APRICOTWING_HTTPCLIENT_CRYPTO_H

#include <string>
#include <string_view>

namespace apricotwing {

/// SHA-256 of \p Data as 64 lower-case hexadecimal digits. Throws
/// Error(Internal) if OpenSSL fails. Thread-safe.
std::string sha256Hex(std::string_view Data);

/// 128 bits from OpenSSL's cryptographically secure random generator, as 32
/// lower-case hexadecimal digits. Throws Error(Internal) if the generator
/// fails. Thread-safe.
std::string randomId();

} // namespace apricotwing

#endif
