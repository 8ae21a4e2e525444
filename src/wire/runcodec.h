/// \file
/// Bodies of the callers' API for runs.
#ifndef APRICOTWING_WIRE_RUNCODEC_H
#define APRICOTWING_WIRE_RUNCODEC_H

#include "core/run.h"

#include <cstdint>
#include <string>
#include <vector>

namespace apricotwing {

/// Answer to a submission.
struct RunAccepted {
  RunId Run;
  RunState State = RunState::Accepted;
};

/// A run as a caller sees it.
struct RunView {
  RunRecord Record;
  std::uint32_t PendingTasks = 0; ///< Neither running nor ended.
  std::string PendingReason;      ///< Empty unless tasks wait.
};

/// One page of a team's runs, in the order of run ids.
struct RunPage {
  std::vector<RunView> Runs;
  bool HasMore = false; ///< There are runs after the last one.
};

/// Parses and checks what a caller sends. Fields that are left out get the
/// defaults of RunSpec; kind, resources and idempotency_key are required.
/// Throws Error(BadRequest) for an unknown field, a wrong type, a number out
/// of range or a broken rule of validate(). Thread-safe.
RunSpec decodeRunSpec(const std::string &Text);

/// Body of a submission. Throws Error(Internal) for a string that is not
/// UTF-8. Thread-safe.
std::string encodeRunSpec(const RunSpec &Spec);

/// Canonical text of everything but the idempotency key: equal for equal
/// specifications however they were written. Input for a digest. Throws
/// Error(Internal) for a string that is not UTF-8. Thread-safe.
std::string runDigestInput(const RunSpec &Spec);

/// Bodies of the answers. Decoding throws Error(BadRequest) and ignores
/// unknown fields. Thread-safe.
std::string encodeRunAccepted(const RunAccepted &Answer);
RunAccepted decodeRunAccepted(const std::string &Text);
std::string encodeRunView(const RunView &View);
RunView decodeRunView(const std::string &Text);
std::string encodeRunPage(const RunPage &Page);
RunPage decodeRunPage(const std::string &Text);

} // namespace apricotwing

#endif
