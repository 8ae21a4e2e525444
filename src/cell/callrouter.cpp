#include "cell/callrouter.h"

#include <algorithm>
#include <iterator>
#include <utility>
#include <vector>

namespace apricotwing::cell {

namespace {

/// Time reserved for sending the answer back to the caller.
constexpr Duration ResponseMargin{150};

/// Limits of Retry-After while there is no leader. A takeover takes up to 2 s
/// and an outage of the store longer, and a caller retries only a few times.
/// Jobs that may take longer are therefore retried later.
constexpr Duration MinNoLeaderRetryAfter{1000};
constexpr Duration MaxNoLeaderRetryAfter{4000};
constexpr int RetriesInAllowedTime = 4;

/// Retry-After of a cancellation that the leader cannot remember.
constexpr Duration CancelRetryAfter{2000};

/// Length of a job id in hexadecimal digits.
constexpr std::size_t JobIdLength = 16;

bool isJobId(const std::string &Text) {
  return Text.size() == JobIdLength &&
         Text.find_first_not_of("0123456789abcdefABCDEF") == std::string::npos;
}

/// Longest time for which a call waits until the policy is confirmed.
constexpr Duration MaxConfirmTime{700};

/// Delay before a submission is sent again that the leader refused because it
/// has another policy. The leader needs this long to read the newest one.
constexpr Duration ResendDelay{100};

/// Time for which an allowed call is remembered while no earlier one waits for
/// its decision. A call may return from the leader to be decided again.
constexpr Duration AllowedCallRetention{1000};

/// Longest part of a caller's text in a log line.
constexpr std::size_t MaxLoggedText = 120;

/// Returns the start of a text that a caller has sent, with everything replaced
/// that would break a log line apart.
std::string printable(std::string Text) {
  Text.resize(std::min(Text.size(), MaxLoggedText));
  std::replace_if(
      Text.begin(), Text.end(),
      [](char Letter) {
        return Letter <= ' ' || Letter > '~' || Letter == '"';
      },
      '?');
  return Text;
}

/// Returns the answer to a call while there is no leader. \p AllowedTime is the
/// time that the submitted job may take.
ClientAnswer unavailable(Duration AllowedTime) {
  ClientAnswer Result{ClientStatus::Unavailable};
  Result.RetryAfter = std::clamp(AllowedTime / RetriesInAllowedTime,
                                 MinNoLeaderRetryAfter, MaxNoLeaderRetryAfter);
  return Result;
}

ClientAnswer busy(Duration RetryAfter) {
  ClientAnswer Result{ClientStatus::Busy};
  Result.RetryAfter = RetryAfter;
  return Result;
}

} // namespace

void CallRouter::setPolicy(const jobs::ClusterPolicy &NewPolicy) {
  for (const AllowedCall &Call : Allowed) {
    const Ruling Former = rulingOf(Policy, Call.Host, Call.Path, Call.Key);
    if (Former != rulingOf(NewPolicy, Call.Host, Call.Path, Call.Key))
      LastOutdatedArrival = std::max(LastOutdatedArrival, Call.ArrivedAt);
  }
  Policy = NewPolicy;
}

CallRouter::Ruling CallRouter::rulingOf(const jobs::ClusterPolicy &Policy,
                                        const std::string &Host,
                                        const std::string &Path,
                                        const std::string &Key) {
  Ruling Result;
  if (const jobs::Queue *Queue = Policy.match(Host, Path)) {
    Result.Queue = Queue->Name;
    Result.Upstream = Queue->Upstream;
  }
  if (const jobs::ClientAccount *Owner = Policy.accountOfKey(Key))
    Result.Account = Owner->Name;
  return Result;
}

// True if the call would show a newer policy than a later call was decided by.
bool CallRouter::isOvertaken(const OpenCall &Call) const {
  const ClientCall &Request = Call.Request;
  return Call.ArrivedAt < LastOutdatedArrival &&
         Call.FirstRuling !=
             rulingOf(Policy, Request.Host, Request.Path, Request.Key);
}

void CallRouter::forgetAllowedCalls() {
  TimePoint Oldest = Deps.Time.now() - AllowedCallRetention;
  for (const auto &[Tag, Call] : Unconfirmed)
    Oldest = std::min(Oldest, Call.ArrivedAt);
  for (const OpenCall &Call : Postponed)
    Oldest = std::min(Oldest, Call.ArrivedAt);
  while (!Allowed.empty() && Allowed.front().ArrivedAt < Oldest)
    Allowed.pop_front();
}

void CallRouter::setLayout(const ShardLayout &NewLayout) {
  Layout = NewLayout;
  for (auto &[Tag, Call] : Open)
    sendToShards(Call);
}

bool CallRouter::isFull(std::size_t JobBytes) const {
  return openCalls() >= Limits.Calls ||
         (JobBytes > 0 && OpenJobBytes + JobBytes > Limits.JobBytes);
}

// Answers open calls until a new one with \p JobBytes fits. Returns false if
// its caller would wait longer than those of all open ones.
bool CallRouter::makeRoom(std::size_t JobBytes, TimePoint Deadline) {
  if (JobBytes > Limits.JobBytes)
    return false;
  while (isFull(JobBytes)) {
    const bool CallsSuffice = openCalls() < Limits.Calls;
    const OpenCall *Longest = nullptr;
    std::uint64_t LongestTag = 0;
    for (const auto &[Tag, Call] : Open) {
      if ((CallsSuffice && Call.JobBytes == 0) ||
          (Longest && Call.Deadline <= Longest->Deadline))
        continue;
      Longest = &Call;
      LongestTag = Tag;
    }
    if (!Longest || Longest->Deadline <= Deadline)
      return false;
    ++CallsOverLimit;
    answer(LongestTag, failureOf(LongestTag, *Longest));
  }
  return true;
}

void CallRouter::serve(ClientCall Call, ClientResponder Respond) {
  OpenCall NewCall;
  NewCall.Respond = std::move(Respond);
  NewCall.ArrivedAt = Deps.Time.now();
  NewCall.Deadline =
      NewCall.ArrivedAt + std::clamp(Call.Deadline - ResponseMargin,
                                     Duration{100}, Deps.Times.MaxCallTime);
  NewCall.Request = std::move(Call);
  if (Policy.Version == 0) {
    finish(NewCall, unavailable(Duration{0}));
    return;
  }
  const std::size_t JobBytes =
      NewCall.Request.Job ? jobs::specBytes(*NewCall.Request.Job) : 0;
  if (isFull(JobBytes) && !makeRoom(JobBytes, NewCall.Deadline)) {
    ++CallsOverLimit;
    finish(NewCall, unavailable(Duration{0}));
    return;
  }
  NewCall.JobBytes = JobBytes;
  OpenJobBytes += JobBytes;
  NewCall.FirstRuling = rulingOf(Policy, NewCall.Request.Host,
                                 NewCall.Request.Path, NewCall.Request.Key);
  if (Deps.Tracker.isUncertain())
    confirmAndRoute(std::move(NewCall));
  else
    route(std::move(NewCall), PolicyView::Recent);
}

void CallRouter::route(OpenCall NewCall, PolicyView View) {
  ClientCall &Call = NewCall.Request;
  if (isOvertaken(NewCall)) {
    logPolicyDecision("overtaken by a later call", NewCall,
                      ClientStatus::Unavailable);
    finish(NewCall, unavailable(Duration{0}));
    return;
  }
  const jobs::Queue *Queue = Policy.match(Call.Host, Call.Path);
  if (!Queue) {
    refuse(std::move(NewCall), ClientStatus::NoSuchQueue, View);
    return;
  }
  const jobs::ClientAccount *KeyOwner = Policy.accountOfKey(Call.Key);
  if (!KeyOwner && !Queue->Public) {
    refuse(std::move(NewCall), ClientStatus::UnknownKey, View);
    return;
  }
  if (Deps.Time.now() < NewCall.NextSend) {
    Postponed.push_back(std::move(NewCall));
    return;
  }
  Allowed.push_back({Call.Host, Call.Path, Call.Key, NewCall.ArrivedAt});
  if (KeyOwner)
    NewCall.Account = KeyOwner->Name;
  NewCall.PublicQueue = Queue->Public;
  const std::string Id = Call.Path.substr(Queue->PathPrefix.size());
  const std::uint64_t Tag = ++LastTag;
  if (Id.empty() && Call.Verb == ClientVerb::Read) {
    NewCall.QueryRequest = Query{Tag, QueryKind::Pending, Queue->Name};
    open(std::move(NewCall));
    return;
  }
  if (!isJobId(Id)) {
    finish(NewCall,
           {Call.Verb == ClientVerb::Submit ? ClientStatus::Malformed
                                            : ClientStatus::NoSuchJob});
    return;
  }
  switch (Call.Verb) {
  case ClientVerb::Read:
    NewCall.QueryRequest = Query{Tag, QueryKind::State, Id};
    break;
  case ClientVerb::Cancel:
    NewCall.QueryRequest = Query{Tag, QueryKind::Cancel, Id};
    break;
  case ClientVerb::Submit:
    if (!Call.Job) {
      finish(NewCall, {ClientStatus::Malformed});
      return;
    }
    if (const auto Problem = jobs::validationError(*Call.Job)) {
      Deps.Log.event("job malformed", Id, {{"problem", *Problem}});
      finish(NewCall, {ClientStatus::Malformed});
      return;
    }
    Call.Job->Id = Id;
    Call.Job->Queue = Queue->Name;
    Call.Job->Account = NewCall.Account;
    Call.Job->AcceptedUnixMs = Deps.WallTime.unixMs();
    NewCall.AllowedTime = jobs::allowedTime(*Queue, *Call.Job);
    NewCall.SubmitRequest = Submission{Tag, std::move(*Call.Job)};
    break;
  }
  open(std::move(NewCall));
}

// A caller takes the refusal for final, so it must not rest on an old view.
void CallRouter::refuse(OpenCall Call, ClientStatus Status, PolicyView View) {
  switch (View) {
  case PolicyView::Recent:
    confirmAndRoute(std::move(Call));
    return;
  case PolicyView::Confirmed:
    finish(Call, {Status});
    return;
  case PolicyView::Unconfirmed:
    logPolicyDecision("policy not confirmed", Call, Status);
    finish(Call, unavailable(Duration{0}));
    return;
  }
}

void CallRouter::confirmAndRoute(OpenCall Call) {
  const std::uint64_t Tag = ++LastTag;
  Unconfirmed.emplace(Tag, std::move(Call));
  Deps.Tracker.confirm([this, Tag](bool Confirmed) {
    onConfirmed(Tag,
                Confirmed ? PolicyView::Confirmed : PolicyView::Unconfirmed);
  });
}

void CallRouter::onConfirmed(std::uint64_t Tag, PolicyView View) {
  auto Found = Unconfirmed.extract(Tag);
  if (!Found.empty())
    route(std::move(Found.mapped()), View);
}

void CallRouter::open(OpenCall Call) {
  const std::uint64_t Tag =
      Call.SubmitRequest ? Call.SubmitRequest->Tag : Call.QueryRequest->Tag;
  OpenCall &Added = Open.emplace(Tag, std::move(Call)).first->second;
  if (Layout)
    sendToShards(Added);
}

void CallRouter::sendToShards(OpenCall &Call) {
  Call.AskedAll =
      Call.QueryRequest && Call.QueryRequest->Kind == QueryKind::Pending;
  if (!Call.AskedAll) {
    sendTo(Layout->shardOfAccount(Call.Account), Call);
    return;
  }
  for (int Shard = 0; Shard < Layout->shardCount(); ++Shard)
    sendTo(Shard, Call);
}

void CallRouter::sendTo(int Shard, OpenCall &Call) {
  Call.Awaited.insert(Shard);
  if (Call.SubmitRequest)
    Deps.Channel(Shard).submit(*Call.SubmitRequest);
  else
    Deps.Channel(Shard).query(*Call.QueryRequest);
}

bool CallRouter::wasSent(std::uint64_t Tag, const OpenCall &Call) const {
  return std::any_of(Call.Awaited.begin(), Call.Awaited.end(), [&](int Shard) {
    return Deps.Channel(Shard).wasSent(Tag);
  });
}

// A submission that may have reached a leader may be stored, so it cannot be
// refused.
ClientAnswer CallRouter::failureOf(std::uint64_t Tag,
                                   const OpenCall &Call) const {
  return Call.SubmitRequest && wasSent(Tag, Call)
             ? ClientAnswer{ClientStatus::Unresolved}
             : unavailable(Call.AllowedTime);
}

void CallRouter::onSubmitted(const SubmitAnswer &Result) {
  const auto Found = Open.find(Result.Tag);
  if (Found == Open.end() || !Found->second.SubmitRequest)
    return;
  switch (Result.Result) {
  case SubmitResult::Accepted:
    answer(Result.Tag, {ClientStatus::Accepted});
    return;
  case SubmitResult::Malformed:
    answer(Result.Tag, {ClientStatus::Malformed});
    return;
  case SubmitResult::Busy:
    answer(Result.Tag, busy(Duration(Result.RetryAfterMs)));
    return;
  case SubmitResult::UnknownQueue:
    onUnknownQueue(takeOpenCall(Result.Tag), Duration(Result.RetryAfterMs));
    return;
  }
}

// Either this instance or the leader is behind. The leader refuses the request
// for good, so it is sent again as another one.
void CallRouter::onUnknownQueue(OpenCall Call, Duration RetryAfter) {
  const TimePoint Now = Deps.Time.now();
  if (Now >= Call.ArrivedAt + MaxConfirmTime) {
    finish(Call, busy(RetryAfter));
    return;
  }
  Call.Request.Job = std::move(Call.SubmitRequest->Job);
  Call.SubmitRequest.reset();
  Call.Awaited.clear();
  Call.NextSend = Now + ResendDelay;
  confirmAndRoute(std::move(Call));
}

void CallRouter::onAnswered(int Shard, const QueryAnswer &Result) {
  const auto Found = Open.find(Result.Tag);
  if (Found == Open.end() || !Found->second.QueryRequest)
    return;
  OpenCall &Call = Found->second;
  if (Call.Awaited.erase(Shard) == 0)
    return;
  Deps.Channel(Shard).drop(Result.Tag);
  if (Result.Refused) {
    answer(Result.Tag, busy(CancelRetryAfter));
    return;
  }
  const QueryKind Kind = Call.QueryRequest->Kind;
  Call.Count += Result.Count;
  const bool Unknown =
      Kind != QueryKind::Pending && Result.View == jobs::JobView::Unknown;
  if (Unknown && Call.PublicQueue && !Call.AskedAll) {
    Call.AskedAll = true;
    for (int Other = 0; Other < Layout->shardCount(); ++Other)
      if (Other != Shard)
        sendTo(Other, Call);
  }
  const bool NeedsMore = Kind == QueryKind::Pending || Unknown;
  if (NeedsMore && !Call.Awaited.empty())
    return;
  ClientAnswer Answer{ClientStatus::State};
  Answer.View = Result.View;
  Answer.Count = Call.Count;
  if (Kind == QueryKind::Pending)
    Answer.Status = ClientStatus::Count;
  else if (Unknown)
    Answer.Status = ClientStatus::NoSuchJob;
  else if (Kind == QueryKind::Cancel)
    Answer.Status = ClientStatus::Accepted;
  answer(Result.Tag, Answer);
}

// Precondition: the call is open.
CallRouter::OpenCall CallRouter::takeOpenCall(std::uint64_t Tag) {
  OpenCall Call = std::move(Open.extract(Tag).mapped());
  for (const int Shard : Call.Awaited)
    Deps.Channel(Shard).drop(Tag);
  return Call;
}

void CallRouter::answer(std::uint64_t Tag, ClientAnswer Answer) {
  if (!Open.contains(Tag))
    return;
  OpenCall Call = takeOpenCall(Tag);
  finish(Call, Answer);
}

void CallRouter::finish(OpenCall &Call, ClientAnswer Answer) {
  ++Answers[Answer.Status];
  OpenJobBytes -= Call.JobBytes;
  logAnswer(Call, Answer.Status);
  Call.Respond(Answer);
}

void CallRouter::logPolicyDecision(std::string_view Name, const OpenCall &Call,
                                   ClientStatus Status) const {
  const auto AnswerAge = Deps.Tracker.storeAnswerAge();
  Deps.Log.event(
      Name, "",
      {{"outcome", std::string(enumName(ClientStatusNames, Status))},
       {"after_ms", std::to_string((Deps.Time.now() - Call.ArrivedAt).count())},
       {"host", printable(Call.Request.Host)},
       {"path", printable(Call.Request.Path)},
       {"policy", std::to_string(Policy.Version)},
       {"policy_age_ms", std::to_string(Deps.Tracker.age().count())},
       {"store_answer_age_ms",
        std::to_string(AnswerAge ? AnswerAge->count() : -1)}});
}

void CallRouter::logAnswer(const OpenCall &Call, ClientStatus Status) const {
  if (Status == ClientStatus::NoSuchQueue ||
      Status == ClientStatus::UnknownKey) {
    logPolicyDecision("refused by policy", Call, Status);
    return;
  }
  if (!Call.SubmitRequest && Status != ClientStatus::Unavailable &&
      Status != ClientStatus::Unresolved)
    return;
  const int Shard = Layout ? Layout->shardOfAccount(Call.Account) : -1;
  Deps.Log.event(
      "answered",
      Call.SubmitRequest ? Call.SubmitRequest->Job.Id : std::string(),
      {{"outcome", std::string(enumName(ClientStatusNames, Status))},
       {"after_ms", std::to_string((Deps.Time.now() - Call.ArrivedAt).count())},
       {"policy", std::to_string(Policy.Version)},
       {"shard", std::to_string(Shard)},
       {"leader", Layout ? Deps.Channel(Shard).leaderName() : ""}});
}

void CallRouter::pump() {
  const TimePoint Now = Deps.Time.now();
  std::vector<std::uint64_t> Expired;
  for (const auto &[Tag, Call] : Unconfirmed)
    if (Now >= Call.ArrivedAt + MaxConfirmTime || Now >= Call.Deadline)
      Expired.push_back(Tag);
  for (const std::uint64_t Tag : std::exchange(Expired, {}))
    onConfirmed(Tag, PolicyView::Unconfirmed);
  const auto FirstDue = std::partition(
      Postponed.begin(), Postponed.end(),
      [Now](const OpenCall &Call) { return Now < Call.NextSend; });
  std::vector<OpenCall> Due(std::make_move_iterator(FirstDue),
                            std::make_move_iterator(Postponed.end()));
  Postponed.erase(FirstDue, Postponed.end());
  for (OpenCall &Call : Due)
    route(std::move(Call), PolicyView::Recent);
  forgetAllowedCalls();
  for (const auto &[Tag, Call] : Open) {
    const bool Late = Now >= Call.ArrivedAt + Deps.Times.NoLeaderTimeout;
    if (Now >= Call.Deadline || (Late && !wasSent(Tag, Call)))
      Expired.push_back(Tag);
  }
  for (const std::uint64_t Tag : Expired)
    answer(Tag, failureOf(Tag, Open.at(Tag)));
}

void CallRouter::failOpenCalls() {
  for (auto &[Tag, Call] : std::exchange(Unconfirmed, {}))
    finish(Call, unavailable(Duration{0}));
  for (OpenCall &Call : std::exchange(Postponed, {}))
    finish(Call, unavailable(Duration{0}));
  while (!Open.empty()) {
    const std::uint64_t Tag = Open.begin()->first;
    answer(Tag, failureOf(Tag, Open.begin()->second));
  }
}

} // namespace apricotwing::cell
