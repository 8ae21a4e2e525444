/// \file
/// Keys on the side of their owner: reading, generating, writing.
#ifndef APRICOTWING_CLI_KEYFILE_H
#define APRICOTWING_CLI_KEYFILE_H

#include <string>

namespace apricotwing {

/// Reads a key; white space at its end is left out. Throws UsageError if the
/// file cannot be read, is readable for other users or holds no key.
/// Thread-safe.
std::string readKeyFile(const std::string &Path);

/// \p Key without white space at its end; may be empty. Throws UsageError if
/// it cannot stand in a header. Thread-safe.
std::string checkedKey(std::string Key);

/// A new key of 256 random bits. Throws Error(Internal) if the system has no
/// random numbers. Thread-safe.
std::string generateKey();

/// Writes \p Key to a new file that only its owner can read. Throws
/// UsageError if the file exists or cannot be written. Thread-safe.
void writeKeyFile(const std::string &Path, const std::string &Key);

} // namespace apricotwing

#endif
