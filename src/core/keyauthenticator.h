/// \file
/// Authentication of client accounts and co-owners by bearer key.
#ifndef APRICOTWING_CORE_KEYAUTHENTICATOR_H
#define APRICOTWING_CORE_KEYAUTHENTICATOR_H

#include "core/config.h"

#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace apricotwing {

/// Computes the SHA-256 hash of a text as 64 lower-case hexadecimal digits.
/// Thread-safe.
using Sha256Function = std::function<std::string(std::string_view)>;

/// A co-owner of the cluster and its key, from the settings.
struct OwnerKey {
  std::string Name;
  std::string Sha256; ///< 64 lower-case hexadecimal digits.
};

/// The authenticated sender of a request.
struct Caller {
  enum class Kind { Team, Owner };

  Kind CallerKind = Kind::Team;
  std::string Name;      ///< Name of the team or owner.
  std::string KeySha256; ///< Hash of the key sent with the request.
};

/// Identifies callers by their Authorization header. Immutable: the daemon
/// creates a new object for each configuration version. Keys are hashed on
/// arrival and never stored. Const access is thread-safe.
class KeyAuthenticator {
public:
  /// \p Hash is called by authenticate() and must be thread-safe.
  KeyAuthenticator(const Config &Value, const std::vector<OwnerKey> &Owners,
                   Sha256Function Hash);

  /// Returns the caller whose key is given in \p Header ("Bearer <key>").
  /// Throws Error(UnknownKey) if the header is absent or malformed, or if no
  /// active key has this hash. Thread-safe.
  Caller authenticate(std::string_view Header) const;

  /// As authenticate(), but throws Error(Forbidden) unless the caller is a
  /// team. Thread-safe.
  Caller authenticateTeam(std::string_view Header) const;

  /// As authenticate(), but throws Error(Forbidden) unless the caller is a
  /// co-owner. Thread-safe.
  Caller authenticateOwner(std::string_view Header) const;

private:
  Sha256Function Hash;
  std::unordered_map<std::string, Caller> ByHash;
};

} // namespace apricotwing

#endif
