/// \file
/// Conversions between value types of the core and JSON values, for types that
/// occur in several messages. Private to src/wire. All functions are
/// thread-safe; the read functions throw Error(BadRequest).
#ifndef APRICOTWING_WIRE_JSONCONVERT_H
#define APRICOTWING_WIRE_JSONCONVERT_H

#include "core/config.h"
#include "core/records.h"
#include "core/run.h"
#include "wire/jsonreader.h"

namespace apricotwing {

/// Whether JSON values contain the SHA-256 hashes of keys.
enum class KeyHashes { Included, Omitted };

Json toJson(const Resources &Value);
Resources readResources(JsonReader Reader);

Json toJson(const AttemptId &Value);
AttemptId readAttemptId(JsonReader &Reader);

/// Adds the fields of \p Value, the task and the attempt, to \p Target.
void addAttemptId(Json &Target, const AttemptId &Value);

Json toJson(const SessionId &Value);
SessionId readSessionId(JsonReader &Reader);

Json toJson(const RunSpec &Value);

/// Rejects unknown fields; does not check the rules of validate().
RunSpec readRunSpec(JsonReader &Reader);

Json toJson(const RunRecord &Value);
RunRecord readRunRecord(JsonReader &Reader);

Json toJson(const Config &Value, KeyHashes Hashes);
Config readConfig(JsonReader &Reader, KeyHashes Hashes);

Json toJson(const ConfigChange &Value, KeyHashes Hashes);
Json toJson(const std::vector<ConfigChange> &Value, KeyHashes Hashes);

/// Rejects unknown operations and unknown fields.
ConfigChange readConfigChange(JsonReader &Reader, KeyHashes Hashes);

} // namespace apricotwing

#endif
