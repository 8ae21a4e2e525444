#include "daemon/errorresponse.h"

#include "core/configledger.h"
#include "wire/errorcodec.h"

namespace apricotwing {

HttpResponse apiErrorResponse(const Error &Reason) {
  HttpResponse Response;
  Response.Status = httpStatus(Reason.kind());
  Response.Headers["Apricotwing-Outcome"] = outcomeName(Reason.outcome());
  const auto *Conflict = dynamic_cast<const ConfigConflictError *>(&Reason);
  Response.Body = Conflict == nullptr
                      ? encodeError(Reason)
                      : encodeError(Reason, Conflict->currentVersion());
  return Response;
}

} // namespace apricotwing
