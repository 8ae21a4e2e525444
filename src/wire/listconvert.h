/// \file
/// Conversions between entries of the instance list and JSON values.
/// Private to src/wire. All functions are thread-safe; the read functions
/// throw Error(BadRequest).
#ifndef APRICOTWING_WIRE_LISTCONVERT_H
#define APRICOTWING_WIRE_LISTCONVERT_H

#include "core/platform.h"
#include "wire/jsonreader.h"

namespace apricotwing {

Json toJson(const ListedInstance &Value);
ListedInstance readListedInstance(JsonReader &Reader);

Json toJson(const ListedWorker &Value);
ListedWorker readListedWorker(JsonReader &Reader);

Json toJson(const ListedExecutor &Value);
ListedExecutor readListedExecutor(JsonReader &Reader);

} // namespace apricotwing

#endif
