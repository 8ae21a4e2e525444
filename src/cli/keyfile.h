/// \file
/// Generates API keys and stores them in files that only their owner can read.
#ifndef APRICOTWING_CLI_KEYFILE_H
#define APRICOTWING_CLI_KEYFILE_H

#include <string>

namespace apricotwing {

/// Reads a key from a file and removes trailing white space. Throws UsageError
/// if the file cannot be read, is accessible to other users or contains no key.
/// Thread-safe.
std::string readKeyFile(const std::string &Path);

/// Returns \p Key without trailing white space; the result may be empty. Throws
/// UsageError if it contains a character that is not allowed in an HTTP header.
/// Thread-safe.
std::string checkedKey(std::string Key);

/// Returns a new key of 256 random bits. Throws Error(Internal) if the system
/// provides no random numbers. Thread-safe.
std::string generateKey();

/// Writes \p Key to a new file that only its owner can read. Throws
/// UsageError if the file exists or cannot be written. Thread-safe.
void writeKeyFile(const std::string &Path, const std::string &Key);

} // namespace apricotwing

#endif
