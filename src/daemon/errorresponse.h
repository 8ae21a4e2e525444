/// \file
/// Conversion of errors to HTTP responses.
#ifndef APRICOTWING_DAEMON_ERRORRESPONSE_H
#define APRICOTWING_DAEMON_ERRORRESPONSE_H

#include "core/error.h"
#include "core/httpserver.h"

namespace apricotwing {

/// Converts \p Reason to a response with its HTTP status, its outcome in the
/// Apricotwing-Outcome header and a JSON body. The body of a configuration
/// conflict also contains the version in force. Thread-safe.
HttpResponse apiErrorResponse(const Error &Reason);

} // namespace apricotwing

#endif
