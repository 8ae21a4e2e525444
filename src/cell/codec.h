/// \file
/// JSON encoding of messages and stored records.
#ifndef APRICOTWING_CELL_CODEC_H
#define APRICOTWING_CELL_CODEC_H

#include "cell/messages.h"
#include "cell/ports.h"
#include "cell/shardlayout.h"
#include "jobs/clusterpolicy.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace apricotwing::cell {

/// Maximum size of a value that is quoted in a packed row, in bytes.
inline constexpr std::size_t MaxQuotedBytes = 16'000;

/// Each encode function returns JSON text. Each decode function returns an
/// empty result if the text is not valid for its type. All functions are
/// thread-safe.
std::string encode(const LeaderRecord &Value);
std::string encode(const jobs::JobSpec &Value);
std::string encode(const jobs::JobProgress &Value);
/// Finished tasks are stored as ranges.
std::string encode(const ProgressPart &Value);
/// The queues and accounts, but only what scheduling needs of them. In
/// particular no API keys.
std::string encode(const jobs::ClusterPolicy &Value);
std::string encode(const std::vector<RosterEntry> &Value);
std::string encode(const Envelope &Value);
std::string encode(const EnvelopeReply &Value);
std::string encode(const CallBatch &Value);
std::string encode(const CallBatchReply &Value);
std::string encode(const LeaderQuery &Value);
std::string encode(const LeaderAnswer &Value);
std::string encode(const ShardLayout &Value);
std::string encode(const TransferRecord &Value);
/// Shares are rounded to millionths.
std::string encode(const StoredUsage &Value);
/// Values of more than MaxQuotedBytes are contained as they are, not as text
/// with escaped quotes, so that the largest one fits into a row.
std::string encode(const std::vector<RowChange> &Value);

std::optional<LeaderRecord> decodeLeaderRecord(const std::string &Text);
std::optional<jobs::JobSpec> decodeJobSpec(const std::string &Text);
std::optional<jobs::JobProgress> decodeProgress(const std::string &Text);
std::optional<ProgressPart> decodeProgressPart(const std::string &Text);
std::optional<jobs::ClusterPolicy> decodeSettings(const std::string &Text);
std::optional<std::vector<RosterEntry>> decodeRoster(const std::string &Text);
std::optional<EnvelopeReply> decodeEnvelopeReply(const std::string &Text);
std::optional<CallBatchReply> decodeCallBatchReply(const std::string &Text);
std::optional<LeaderAnswer> decodeLeaderAnswer(const std::string &Text);
std::optional<TransferRecord> decodeTransfer(const std::string &Text);
std::optional<StoredUsage> decodeUsage(const std::string &Text);
std::optional<ShardLayout> decodeShardLayout(const std::string &Text);
std::optional<std::vector<RowChange>> decodeRowChanges(const std::string &Text);

/// Decodes a message from another instance. See above.
std::optional<std::variant<Envelope, CallBatch, LeaderQuery>>
decodePeerMessage(const std::string &Text);

} // namespace apricotwing::cell

#endif
