#include "core/requestworld.h"

#include <algorithm>
#include <array>

namespace apricotwing {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t RouterCount = 3;
constexpr std::size_t QueuePerTeam = 8;
constexpr Duration LongestDeadline = 10s;
constexpr std::int64_t SlotsPerExecutor = 2;

const std::array<std::string, 2> Upstreams = {"u", "v"};
const std::array<TeamName, 3> Teams = {"big", "mid", "small"};

} // namespace

RequestWorld::RequestWorld() : Processes(RouterCount) {
  Settings.Teams["big"] = {2, {{}, 8}};
  Settings.Teams["mid"] = {1, {{}, 4}};
  Settings.Teams["small"] = {1, {{}, 4}};
  // The smaller of slots and connections is the limit per executor.
  Settings.Upstreams["u"] = {2, 3};
  Settings.Upstreams["v"] = {3, 2};
  for (const std::string &Upstream : Upstreams)
    for (const char *Number : {"1", "2", "3"})
      Executors[Upstream + Number].Upstream = Upstream;
  publish();
  for (std::size_t At = 0; At < RouterCount; ++At) {
    Process &Instance = Processes[At];
    Instance.Router = std::make_unique<RequestRouter>(RouterOptions{
        "i" + std::to_string(At), "a", QueuePerTeam, 2 * QueuePerTeam + 2});
    Instance.Known = Settings;
    Instance.Router->setConfig(Settings);
    readList(At, 0);
    renew(At, 8s);
    grant(At, 1);
  }
}

void RequestWorld::require(bool Condition, const std::string &Invariant) {
  if (!Condition)
    throw Violation(Invariant);
}

std::int64_t
RequestWorld::sum(const std::map<std::size_t, std::int64_t> &ByRouter) {
  std::int64_t Result = 0;
  for (const auto &[Unused, Amount] : ByRouter)
    Result += Amount;
  return Result;
}

void RequestWorld::perform(WorldAction Action, unsigned A, unsigned B,
                           unsigned C) {
  const std::size_t At = A % RouterCount;
  switch (Action) {
  case WorldAction::Submit:
    submit(At, B, C);
    break;
  case WorldAction::Tick:
    tick(Duration(B % 4 == 0 ? 1000 + 5 * C : C));
    break;
  case WorldAction::Pause:
    pause(At);
    break;
  case WorldAction::Authority:
    renew(At, Duration(B % 3 == 0 ? C : 8000));
    break;
  case WorldAction::Begin:
    beginSend(B, C);
    break;
  case WorldAction::Answer:
    answerSend(B, C);
    break;
  case WorldAction::Lose:
    loseResponse(B);
    break;
  case WorldAction::Repeat:
    repeatReport(B, C);
    break;
  case WorldAction::Fault:
    setFault(B, C);
    break;
  case WorldAction::Leave:
    removeExecutor(B);
    break;
  case WorldAction::ReadList:
    readList(At, B);
    break;
  case WorldAction::Grant:
    grant(At, B);
    break;
  case WorldAction::Reclaim:
    reclaim(At);
    break;
  case WorldAction::Limit:
    Settings.Teams[Teams[A % Teams.size()]].Limit.Requests = 1U << (B % 4);
    break;
  case WorldAction::ReadConfig:
    if (!Processes[At].Paused) {
      Processes[At].Known = Settings;
      Processes[At].Router->setConfig(Settings);
      dispatchAndCheck(At);
    }
    break;
  }
  check();
}

void RequestWorld::submit(std::size_t At, unsigned B, unsigned C) {
  Process &Instance = Processes[At];
  if (Instance.Paused)
    return;
  // Half of all requests come from the big team.
  const TeamName &Team = Teams[B % 2 == 0 ? 0 : 1 + B / 2 % 2];
  const std::string Id = "q" + std::to_string(Calls.size());
  const Duration Time = B % 5 == 0 ? Duration(10000) : Duration(C * 4);
  const RequestMetadata Metadata{Id,         Team,      "", Upstreams[C % 2],
                                 B % 3 == 0, Now + Time};
  Calls[Id] = Call{Metadata, At, true, 0, std::nullopt};
  try {
    Instance.Router->submit(Metadata, Now);
  } catch (const Error &Refusal) {
    require(Refusal.outcome() == Outcome::NotRun, "a refusal is not run");
    setFinalOutcome(Id, Outcome::NotRun);
  }
  dispatchAndCheck(At);
}

void RequestWorld::tick(Duration Step) {
  Now += Step;
  std::erase_if(
      Running, [this](const auto &Entry) { return Entry.second.Until <= Now; });
  for (std::size_t I = ActiveSends.size(); I-- > 0;) {
    const ActiveSend Active = ActiveSends[I];
    if (Active.Running && Active.Expires <= Now &&
        !Processes[Active.Router].Paused)
      report(I, {Active.Send.Id, Active.Send.Attempt, SendResult::InDoubt, 0,
                 false, Active.Send.Timeout, "timeout"});
  }
  for (std::size_t At = 0; At < RouterCount; ++At)
    dispatchAndCheck(At);
}

void RequestWorld::pause(std::size_t At) {
  Processes[At].Paused = !Processes[At].Paused;
  tick(0ms);
}

void RequestWorld::renew(std::size_t At, Duration Valid) {
  Process &Instance = Processes[At];
  if (Instance.Paused)
    return;
  if (Instance.Reclaimed) {
    // A new session starts without grants.
    for (const std::string &Upstream : Upstreams)
      Instance.Router->setSlotGrants(Upstream, {});
    Instance.Router->setTeamGrants({});
    Instance.TeamGrants.clear();
    Instance.Reclaimed = false;
  }
  Instance.AuthorityUntil = std::max(Instance.AuthorityUntil, Now + Valid);
  Instance.Router->setAuthority(Instance.AuthorityUntil);
  dispatchAndCheck(At);
}

void RequestWorld::reclaim(std::size_t At) {
  if (Now < Processes[At].AuthorityUntil + LongestDeadline)
    return;
  for (GrantTable *Pool : {&Slots, &Units})
    for (auto &[Unit, ByRouter] : *Pool)
      ByRouter.erase(At);
  Processes[At].Reclaimed = true;
}

std::map<std::pair<std::string, TeamName>, int>
RequestWorld::eligible(std::size_t At) {
  Process &Instance = Processes[At];
  RequestRouter::Amounts Used = Instance.Router->usedRequests();
  std::map<std::pair<std::string, TeamName>, int> Result;
  for (const auto &[Id, Request] : Calls) {
    const TeamName &Team = Request.Metadata.Team;
    const std::int64_t Units = std::min<std::int64_t>(
        Instance.TeamGrants[Team], Instance.Known.Teams[Team].Limit.Requests);
    if (Request.Router == At && Request.NeverSent && !Request.Final &&
        Used[Team] < Units)
      ++Result[{Request.Metadata.Upstream, Team}];
  }
  return Result;
}

/// While a team could run a request all the time, each other team may be served
/// at most (its share + 1) times before this team is served.
void RequestWorld::checkFairness(
    std::size_t At, const DispatchResult &Result,
    const std::map<std::pair<std::string, TeamName>, int> &Before) {
  std::map<std::pair<std::string, TeamName>, int> Served;
  for (const RequestSend &Send : Result.Sends)
    if (const Call &Request = Calls.at(Send.Id); Send.Attempt == 1)
      ++Served[{Request.Metadata.Upstream, Request.Metadata.Team}];
  const auto After = eligible(At);
  for (const std::string &Upstream : Upstreams)
    for (const TeamName &Team : Teams) {
      int &Skipped = Processes[At].Skipped[{Upstream, Team}];
      const bool Waits = Before.contains({Upstream, Team}) &&
                         After.contains({Upstream, Team}) &&
                         Served[{Upstream, Team}] == 0;
      if (!Waits) {
        Skipped = 0;
        continue;
      }
      int Bound = 0;
      for (const TeamName &Other : Teams) {
        if (Other == Team)
          continue;
        Skipped += Served[{Upstream, Other}];
        Bound += int(Settings.Teams[Other].Share) + 1;
      }
      require(Skipped <= Bound, "no team is starved");
    }
}

void RequestWorld::dispatchAndCheck(std::size_t At) {
  Process &Instance = Processes[At];
  if (Instance.Paused)
    return;
  const auto Before = eligible(At);
  const DispatchResult Result = Instance.Router->dispatch(Now);
  require(Result.Sends.empty() || Now < Instance.AuthorityUntil,
          "nothing is dispatched without authority");
  for (const RequestFailure &Failure : Result.Failures)
    setFinalOutcome(Failure.Id, Failure.Reason.outcome());
  for (const RequestSend &Send : Result.Sends) {
    Call &Sent = Calls.at(Send.Id);
    require(!Sent.Final, "nothing is sent after its final result");
    require(Sent.Router == At, "a send belongs to its router");
    require(Send.Timeout > 0ms && Now + Send.Timeout <= Sent.Metadata.Deadline,
            "a timeout ends by the deadline");
    require(Executors.at(Send.Executor).Upstream == Sent.Metadata.Upstream,
            "a send goes to its upstream");
    require(!Instance.KnownLeaving.contains(Send.Executor),
            "a leaving executor gets nothing new");
    Sent.NeverSent = false;
    ActiveSends.push_back({At, Send, false, {}, 0});
  }
  checkFairness(At, Result, Before);
}

std::optional<std::size_t> RequestWorld::chooseSend(unsigned Choice,
                                                    bool IsRunning) {
  std::vector<std::size_t> Candidates;
  for (std::size_t I = 0; I < ActiveSends.size(); ++I)
    if (ActiveSends[I].Running == IsRunning &&
        !Processes[ActiveSends[I].Router].Paused)
      Candidates.push_back(I);
  if (Candidates.empty())
    return std::nullopt;
  return Candidates[Choice % Candidates.size()];
}

void RequestWorld::beginSend(unsigned Choice, unsigned Variant) {
  const std::optional<std::size_t> At = chooseSend(Choice, false);
  if (!At)
    return;
  ActiveSend &Active = ActiveSends[*At];
  SendReport Report{
      Active.Send.Id, Active.Send.Attempt, SendResult::NotSent, 0, false, 1ms,
      "test"};
  if (!Processes[Active.Router].Router->maySend(Active.Send, Now)) {
    Report.Withheld = true;
    report(*At, Report);
    return;
  }
  const Executor &To = Executors.at(Active.Send.Executor);
  if (To.State == Fault::Down) {
    report(*At, Report);
  } else if (To.State == Fault::Refusing || (To.Leaving && Variant % 2 == 0)) {
    Report.Result = SendResult::Refused;
    Report.Leaving = To.Leaving;
    if (To.Leaving)
      Processes[Active.Router].KnownLeaving.insert(Active.Send.Executor);
    report(*At, Report);
  } else {
    execute(Active);
  }
}

void RequestWorld::execute(ActiveSend &Active) {
  Call &Sent = Calls.at(Active.Send.Id);
  require(Now < Processes[Active.Router].AuthorityUntil,
          "nothing is sent without authority");
  require(!Processes[Active.Router].KnownLeaving.contains(Active.Send.Executor),
          "a leaving executor gets nothing new");
  require(!Sent.Final, "nothing runs after its final result");
  ++Sent.Executions;
  require(Sent.Metadata.Idempotent || Sent.Executions == 1,
          "a non-idempotent request runs at most once");
  Active.Running = true;
  Active.Expires = std::min(Now + Active.Send.Timeout, Active.Send.Deadline);
  Active.ExecutionId = ++Executions;
  // The executor does not know the caller's deadline.
  Running[Active.ExecutionId] = {Active.Send.Executor, Sent.Metadata.Team,
                                 Now + LongestDeadline};
}

void RequestWorld::answerSend(unsigned Choice, unsigned Variant) {
  const std::optional<std::size_t> At = chooseSend(Choice, true);
  if (!At)
    return;
  const ActiveSend Active = ActiveSends[*At];
  Running.erase(Active.ExecutionId);
  report(*At,
         {Active.Send.Id, Active.Send.Attempt, SendResult::Answered,
          Variant % 5 == 0 ? 500 : 200, false, Duration(Variant % 200), ""});
}

void RequestWorld::loseResponse(unsigned Choice) {
  const std::optional<std::size_t> At = chooseSend(Choice, true);
  if (!At)
    return;
  const ActiveSend Active = ActiveSends[*At];
  report(*At, {Active.Send.Id, Active.Send.Attempt, SendResult::InDoubt, 0,
               false, 1ms, "reset"});
}

void RequestWorld::report(std::size_t SendIndex, const SendReport &Report) {
  const ActiveSend Active = ActiveSends[SendIndex];
  ActiveSends.erase(ActiveSends.begin() + std::ptrdiff_t(SendIndex));
  const Call &Sent = Calls.at(Report.Id);
  const bool WasFinal = Sent.Final.has_value();
  const CompletionResult Step =
      Processes[Active.Router].Router->complete(Report, Now);
  Reported.push_back(Report);
  ReportedBy.push_back(Active.Router);
  require(WasFinal == (Step.Action == CompletionAction::Ignore),
          "exactly the reports after the final result are ignored");
  if (Step.Action == CompletionAction::Deliver) {
    require(Report.Result == SendResult::Answered, "an answer is delivered");
    setFinalOutcome(Report.Id, Outcome::Done);
  }
  if (Step.Action == CompletionAction::Fail)
    setFinalOutcome(Report.Id, Step.Failure->outcome());
  dispatchAndCheck(Active.Router);
}

void RequestWorld::repeatReport(unsigned Choice, unsigned Variant) {
  if (Reported.empty())
    return;
  const std::size_t At = Choice % Reported.size();
  SendReport Again = Reported[At];
  Again.Result = SendResult(Variant % 4);
  const CompletionResult Step =
      Processes[ReportedBy[At]].Router->complete(Again, Now);
  require(Step.Action == CompletionAction::Ignore,
          "a second report is ignored");
}

void RequestWorld::setFinalOutcome(const std::string &Id, Outcome Result) {
  Call &Request = Calls.at(Id);
  require(!Request.Final, "a request has one final result");
  require(Result != Outcome::Done || Request.Executions > 0,
          "an answer comes from an execution");
  Request.Final = Result;
}

void RequestWorld::setFault(unsigned Choice, unsigned Variant) {
  auto It = Executors.begin();
  std::advance(It, std::ptrdiff_t(Choice % Executors.size()));
  It->second.State = Variant % 2 == 0   ? Fault::None
                     : Variant % 4 == 1 ? Fault::Down
                                        : Fault::Refusing;
}

void RequestWorld::removeExecutor(unsigned Choice) {
  auto It = Executors.begin();
  std::advance(It, std::ptrdiff_t(Choice % Executors.size()));
  if (It->second.Leaving) {
    It->second.Absent = true;
  } else {
    It->second.Leaving = true;
    const std::string &Upstream = It->second.Upstream;
    Executors[Upstream + std::to_string(Executors.size() + 1)].Upstream =
        Upstream;
  }
  publish();
}

void RequestWorld::publish() {
  std::vector<ListedExecutor> List;
  for (const auto &[Id, Listed] : Executors)
    if (!Listed.Absent)
      List.push_back(
          {Id, Listed.Upstream, Id, Id.back() % 2 ? "a" : "b",
           Listed.Leaving ? ListedState::Leaving : ListedState::Live});
  Lists.push_back(List);
}

void RequestWorld::readList(std::size_t At, unsigned Variant) {
  Process &Instance = Processes[At];
  if (Instance.Paused)
    return;
  // The list may be out of date, but never returns to an older version.
  Instance.ListVersion = std::min(
      Lists.size() - 1, Instance.ListVersion + std::size_t(Variant % 3));
  std::set<std::string> Live;
  for (const ListedExecutor &Entry : Lists[Instance.ListVersion])
    if (Entry.State == ListedState::Live)
      Live.insert(Entry.Id);
  for (const ListedExecutor &Entry : Lists[Instance.ListVersion])
    if (!Live.contains(Entry.Id))
      Instance.KnownLeaving.insert(Entry.Id);
  Instance.Router->setExecutors(Lists[Instance.ListVersion], Now);
  dispatchAndCheck(At);
}

void RequestWorld::grant(std::size_t At, unsigned Variant) {
  Process &Instance = Processes[At];
  if (Instance.Paused || Instance.Reclaimed || Now >= Instance.AuthorityUntil)
    return;
  for (const std::string &Upstream : Upstreams)
    grantSlots(At, Upstream, Variant);
  grantTeams(At, Variant);
  dispatchAndCheck(At);
}

void RequestWorld::grantSlots(std::size_t At, const std::string &Upstream,
                              unsigned Variant) {
  RequestRouter &Router = *Processes[At].Router;
  RequestRouter::Amounts Held;
  for (const auto &[Id, Listed] : Executors)
    if (Listed.Upstream == Upstream && Slots[Id][At] > 0)
      Held[Id] = Slots[Id][At];
  // A grant is lowered at the router first, then in the table.
  Router.setSlotGrants(Upstream, Held);
  for (const auto &[Id, Spare] : Router.releasableSlots(Upstream, Now))
    Held[Id] -= Spare;
  Router.setSlotGrants(Upstream, Held);
  for (const auto &[Id, Amount] : Held)
    Slots[Id][At] = Amount;
  for (const auto &[Id, Desired] : Router.desiredSlots(Upstream, Now)) {
    const std::int64_t Free = SlotsPerExecutor - sum(Slots[Id]);
    const std::int64_t More = std::min(Desired - Slots[Id][At], Free);
    if (More > 0)
      Held[Id] = Slots[Id][At] += More;
  }
  // Sometimes the response of the table service is lost.
  if (Variant % 5 != 0)
    Router.setSlotGrants(Upstream, Held);
}

void RequestWorld::grantTeams(std::size_t At, unsigned Variant) {
  Process &Instance = Processes[At];
  RequestRouter::Amounts Held;
  for (const TeamName &Team : Teams)
    Held[Team] = Units[Team][At];
  Instance.Router->setTeamGrants(Held);
  for (const auto &[Team, Spare] : Instance.Router->releasableRequests(Now))
    Held[Team] -= Spare;
  Instance.Router->setTeamGrants(Held);
  Instance.TeamGrants = Held;
  for (const auto &[Team, Amount] : Held)
    Units[Team][At] = Amount;
  for (const auto &[Team, Desired] : Instance.Router->desiredRequests(Now)) {
    const std::int64_t Free =
        std::int64_t(Settings.Teams[Team].Limit.Requests) - sum(Units[Team]);
    const std::int64_t More = std::min(Desired - Units[Team][At], Free);
    if (More > 0)
      Held[Team] = Units[Team][At] += More;
  }
  if (Variant % 7 != 0) {
    Instance.Router->setTeamGrants(Held);
    Instance.TeamGrants = Held;
  }
}

void RequestWorld::check() {
  std::map<std::string, std::int64_t> ByExecutor;
  std::map<TeamName, std::int64_t> ByTeam;
  for (const auto &[Unused, Instance] : Running) {
    ++ByExecutor[Instance.Executor];
    ++ByTeam[Instance.Team];
  }
  for (const auto &[Id, Count] : ByExecutor)
    require(Count <= SlotsPerExecutor, "no executor is above its slots");
  for (const auto &[Team, Count] : ByTeam)
    // After a limit was lowered, the grants are lowered in the next rounds.
    require(Count <= std::max<std::int64_t>(Settings.Teams[Team].Limit.Requests,
                                            sum(Units[Team])),
            "no team is above its limit");
  for (const auto &[Id, Instance] : Calls) {
    require(Instance.Final != Outcome::NotRun || Instance.Executions == 0,
            "what is not run did not run");
    require(Instance.Final || Instance.Metadata.Deadline > Now ||
                Processes[Instance.Router].Paused,
            "a final result comes by the deadline");
  }
  for (const Process &Instance : Processes)
    for (const auto &[Team, Count] : Instance.Router->stats().QueuedByTeam)
      // Retried requests are not subject to the bound.
      require(Count <= QueuePerTeam +
                           std::size_t(SlotsPerExecutor) * Executors.size(),
              "queues are bounded");
}

void RequestWorld::finish() {
  for (auto &[Id, Instance] : Executors)
    Instance.State = Fault::None;
  for (std::size_t At = 0; At < RouterCount; ++At)
    if (Processes[At].Paused)
      pause(At);
  for (int Round = 0; Round < 24; ++Round) {
    for (std::size_t At = 0; At < RouterCount; ++At) {
      renew(At, 8s);
      readList(At, 2);
      grant(At, 1);
    }
    while (chooseSend(0, false))
      beginSend(0, 1);
    while (chooseSend(0, true))
      answerSend(0, 1);
    check();
    tick(500ms);
    check();
  }
  for (const auto &[Id, Instance] : Calls)
    require(Instance.Final.has_value(), "every request gets a final result");
  for (const Process &Instance : Processes) {
    require(Instance.Router->open() == 0, "no request is left over");
    require(Instance.Router->usedRequests().empty(), "no unit is left taken");
    for (const std::string &Upstream : Upstreams)
      require(Instance.Router->usedSlots(Upstream).empty(),
              "no slot is left taken");
  }
}

} // namespace apricotwing
