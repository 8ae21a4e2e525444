#include "cell/leaderchannel.h"

#include "cell/codec.h"

#include <algorithm>
#include <utility>

namespace apricotwing::cell {

namespace {

/// Maximum number of batches on their way in one lane.
constexpr int MaxReadBatches = 2;
constexpr int MaxWriteBatches = 7;

/// Minimum interval between two batches of a lane while one is on its way, so
/// that calls are sent together when many arrive. It doubles with each further
/// batch: with a slow store writes take up to 0.7 s, and the batches of that
/// time must not use up all that may be on their way.
constexpr Duration MinBatchInterval{8};

/// Maximum number of calls in a batch.
constexpr std::size_t MaxCallsPerBatch = 256;

/// A batch with this many bytes of jobs, or with one larger job, is sent
/// without further ones. Its encoded and parsed forms take several times as
/// much. 256 usual jobs have less.
constexpr std::size_t MaxJobBytesPerBatch = std::size_t(1) << 20;

/// Delay after a batch without a valid reply.
constexpr Duration RetryDelay{40};

/// A batch that has no reply after this time is a reason to read the leader
/// record.
constexpr Duration SuspectAfter{350};

} // namespace

LeaderChannel::LeaderChannel(PeerTransport &Transport, const Clock &Time,
                             int Shard, std::string Process, Receivers Owner)
    : Transport(Transport), Time(Time), Shard(Shard),
      Process(std::move(Process)), Owner(std::move(Owner)) {}

void LeaderChannel::submit(Submission NewSubmission) {
  const std::uint64_t Tag = NewSubmission.Tag;
  Call NewCall;
  NewCall.Kind = Lane::Writes;
  NewCall.SubmitRequest = std::move(NewSubmission);
  add(Tag, std::move(NewCall));
}

void LeaderChannel::query(Query NewQuery) {
  const std::uint64_t Tag = NewQuery.Tag;
  Call NewCall;
  NewCall.Kind =
      NewQuery.Kind == QueryKind::Cancel ? Lane::Writes : Lane::Reads;
  NewCall.QueryRequest = std::move(NewQuery);
  add(Tag, std::move(NewCall));
}

void LeaderChannel::add(std::uint64_t Tag, Call NewCall) {
  laneOf(NewCall.Kind).Waiting.push_back(Tag);
  Calls[Tag] = std::move(NewCall);
}

void LeaderChannel::drop(std::uint64_t Tag) { Calls.erase(Tag); }

bool LeaderChannel::wasSent(std::uint64_t Tag) const {
  const auto Found = Calls.find(Tag);
  return Found != Calls.end() && Found->second.Sends > 0;
}

void LeaderChannel::setLeader(const LeaderRecord &Record) {
  if (Leader && Leader->Term == Record.Term &&
      Leader->Process == Record.Process)
    return;
  forgetLeader();
  Leader = Record;
  Suspect = false;
}

// Late replies of the previous leader are ignored: it may have refused a job
// that the next one accepts.
void LeaderChannel::forgetLeader() {
  Leader.reset();
  Batches.clear();
  for (LaneState &State : LaneStates)
    State = LaneState{};
  for (const auto &[Tag, Open] : Calls)
    laneOf(Open.Kind).Waiting.push_back(Tag);
}

bool LeaderChannel::needsLeader() const {
  if (Calls.empty())
    return false;
  if (!Leader || Suspect)
    return true;
  const TimePoint Now = Time.now();
  return std::any_of(Batches.begin(), Batches.end(), [Now](const auto &Entry) {
    return Now - Entry.second.SentAt > SuspectAfter;
  });
}

void LeaderChannel::pump() {
  if (!Leader)
    return;
  const TimePoint Now = Time.now();
  for (const Lane Kind : {Lane::Writes, Lane::Reads}) {
    LaneState &State = laneOf(Kind);
    const int MaxBatches =
        Kind == Lane::Reads ? MaxReadBatches : MaxWriteBatches;
    if (!State.Waiting.empty() && State.InFlight < MaxBatches &&
        Now >= State.NextSend)
      sendBatch(Kind);
  }
}

void LeaderChannel::sendBatch(Lane Kind) {
  LaneState &State = laneOf(Kind);
  CallBatch Message;
  Message.Shard = Shard;
  Message.Term = Leader->Term;
  Message.Process = Process;
  Message.PolicyVersion = PolicyVersion;
  Batch NewBatch{Kind, Time.now(), {}};
  std::size_t JobBytes = 0;
  while (!State.Waiting.empty() && NewBatch.Tags.size() < MaxCallsPerBatch &&
         JobBytes < MaxJobBytesPerBatch) {
    const std::uint64_t Tag = State.Waiting.front();
    State.Waiting.pop_front();
    const auto Found = Calls.find(Tag);
    if (Found == Calls.end())
      continue;
    Call &Open = Found->second;
    ++Open.Sends;
    NewBatch.Tags.push_back(Tag);
    if (Open.SubmitRequest)
      JobBytes += jobs::specBytes(Open.SubmitRequest->Job);
    if (Open.SubmitRequest)
      Message.Submissions.push_back(*Open.SubmitRequest);
    else
      Message.Queries.push_back(*Open.QueryRequest);
  }
  if (NewBatch.Tags.empty())
    return;
  const std::uint64_t Number = ++LastBatch;
  State.NextSend = NewBatch.SentAt + MinBatchInterval * (1 << State.InFlight);
  ++State.InFlight;
  Batches[Number] = std::move(NewBatch);
  Transport.post(Leader->Instance.Address, encode(Message),
                 Kind == Lane::Reads ? ReadTimeout : WriteTimeout,
                 Guard.wrap([this, Number](const PeerResult &Result) {
                   onReply(Number, Result);
                 }));
}

void LeaderChannel::onReply(std::uint64_t Number, const PeerResult &Result) {
  const auto Found = Batches.extract(Number);
  if (Found.empty())
    return;
  const Batch &Answered = Found.mapped();
  LaneState &State = laneOf(Answered.Kind);
  --State.InFlight;
  const auto Reply =
      Result.Reply ? decodeCallBatchReply(*Result.Reply) : std::nullopt;
  const bool NotLeader = Reply && Reply->Outcome == BatchOutcome::NotLeader;
  if (NotLeader || Result.NotSent)
    for (const std::uint64_t Tag : Answered.Tags)
      if (const auto Open = Calls.find(Tag); Open != Calls.end())
        --Open->second.Sends;
  if (NotLeader) {
    forgetLeader();
    return;
  }
  Suspect = !Reply;
  if (!Reply)
    State.NextSend = Time.now() + RetryDelay;
  else if (State.InFlight == 0)
    State.NextSend = Time.now();
  if (Reply) {
    for (const SubmitAnswer &Answer : Reply->Submitted)
      Owner.Submitted(Answer);
    for (const QueryAnswer &Answer : Reply->Answers)
      Owner.Answered(Answer);
  }
  // The receivers have dropped the calls that were answered.
  for (auto Tag = Answered.Tags.rbegin(); Tag != Answered.Tags.rend(); ++Tag)
    if (Calls.contains(*Tag))
      State.Waiting.push_front(*Tag);
  pump();
}

} // namespace apricotwing::cell
