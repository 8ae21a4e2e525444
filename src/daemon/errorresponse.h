/// \file
/// Errors as callers and operators see them.
#ifndef APRICOTWING_DAEMON_ERRORRESPONSE_H
#define APRICOTWING_DAEMON_ERRORRESPONSE_H

#include "core/error.h"
#include "core/httpserver.h"

namespace apricotwing {

/// \p Reason as a response with its status, its outcome in the header and a
/// JSON body. A conflict of the configuration also names the version in force.
/// Thread-safe.
HttpResponse apiErrorResponse(const Error &Reason);

} // namespace apricotwing

#endif
