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
  // The smaller of slots and connections counts.
  Settings.Upstreams["u"] = {2, 3};
  Settings.Upstreams["v"] = {3, 2};
  for (const std::string &Upstream : Upstreams)
    for (const char *Number : {"1", "2", "3"})
      Executors[Upstream + Number].Upstream = Upstream;
  publish();
  for (std::size_t At = 0; At < RouterCount; ++At) {
    Process &Of = Processes[At];
    Of.Router = std::make_unique<RequestRouter>(RouterOptions{
        "i" + std::to_string(At), "a", QueuePerTeam, 2 * QueuePerTeam + 2});
    Of.Known = Settings;
    Of.Router->setConfig(Settings);
    readList(At, 0);
    renew(At, 8s);
    grant(At, 1);
  }
}

void RequestWorld::require(bool Holds, const std::string &Promise) {
  if (!Holds)
    throw Violation(Promise);
}

std::int64_t RequestWorld::sum(const std::map<std::size_t, std::int64_t> &Of) {
  std::int64_t Result = 0;
  for (const auto &[Unused, Amount] : Of)
    Result += Amount;
  return Result;
}

void RequestWorld::perform(WorldAction What, unsigned A, unsigned B,
                           unsigned C) {
  const std::size_t At = A % RouterCount;
  switch (What) {
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
    begin(B, C);
    break;
  case WorldAction::Answer:
    answer(B, C);
    break;
  case WorldAction::Lose:
    lose(B);
    break;
  case WorldAction::Repeat:
    repeat(B, C);
    break;
  case WorldAction::Fault:
    fault(B, C);
    break;
  case WorldAction::Leave:
    leave(B);
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
      pump(At);
    }
    break;
  }
  check();
}

void RequestWorld::submit(std::size_t At, unsigned B, unsigned C) {
  Process &Of = Processes[At];
  if (Of.Paused)
    return;
  // Half of all requests come from the big team.
  const TeamName &Team = Teams[B % 2 == 0 ? 0 : 1 + B / 2 % 2];
  const std::string Id = "q" + std::to_string(Calls.size());
  const Duration Time = B % 5 == 0 ? Duration(10000) : Duration(C * 4);
  const RequestMetadata Ticket{Id,         Team,      "", Upstreams[C % 2],
                               B % 3 == 0, Now + Time};
  Calls[Id] = Call{Ticket, At, true, 0, std::nullopt};
  try {
    Of.Router->submit(Ticket, Now);
  } catch (const Error &Refusal) {
    require(Refusal.outcome() == Outcome::NotRun, "a refusal is not run");
    conclude(Id, Outcome::NotRun);
  }
  pump(At);
}

void RequestWorld::tick(Duration Step) {
  Now += Step;
  std::erase_if(
      Running, [this](const auto &Entry) { return Entry.second.Until <= Now; });
  for (std::size_t I = Flights.size(); I-- > 0;) {
    const Flight Of = Flights[I];
    if (Of.Running && Of.Expires <= Now && !Processes[Of.Router].Paused)
      report(I, {Of.Send.Id, Of.Send.Attempt, SendResult::InDoubt, 0, false,
                 Of.Send.Timeout, "timeout"});
  }
  for (std::size_t At = 0; At < RouterCount; ++At)
    pump(At);
}

void RequestWorld::pause(std::size_t At) {
  Processes[At].Paused = !Processes[At].Paused;
  tick(0ms);
}

void RequestWorld::renew(std::size_t At, Duration Valid) {
  Process &Of = Processes[At];
  if (Of.Paused)
    return;
  if (Of.Reclaimed) {
    // A new session starts without grants.
    for (const std::string &Upstream : Upstreams)
      Of.Router->setSlotGrants(Upstream, {});
    Of.Router->setTeamGrants({});
    Of.TeamGrants.clear();
    Of.Reclaimed = false;
  }
  Of.AuthorityUntil = std::max(Of.AuthorityUntil, Now + Valid);
  Of.Router->setAuthority(Of.AuthorityUntil);
  pump(At);
}

void RequestWorld::reclaim(std::size_t At) {
  if (Now < Processes[At].AuthorityUntil + LongestDeadline)
    return;
  for (Ledger *Pool : {&Slots, &Units})
    for (auto &[Unit, ByRouter] : *Pool)
      ByRouter.erase(At);
  Processes[At].Reclaimed = true;
}

std::map<std::pair<std::string, TeamName>, int>
RequestWorld::eligible(std::size_t At) {
  Process &Of = Processes[At];
  RequestRouter::Amounts Used = Of.Router->usedRequests();
  std::map<std::pair<std::string, TeamName>, int> Result;
  for (const auto &[Id, Of2] : Calls) {
    const TeamName &Team = Of2.Ticket.Team;
    const std::int64_t Units = std::min<std::int64_t>(
        Of.TeamGrants[Team], Of.Known.Teams[Team].Limit.Requests);
    if (Of2.Router == At && Of2.Fresh && !Of2.Final && Used[Team] < Units)
      ++Result[{Of2.Ticket.Upstream, Team}];
  }
  return Result;
}

/// A team that could run all the time sees each other team served at most as
/// often as that one's share, and once more, before it is served itself.
void RequestWorld::checkFairness(
    std::size_t At, const DispatchResult &Result,
    const std::map<std::pair<std::string, TeamName>, int> &Before) {
  std::map<std::pair<std::string, TeamName>, int> Served;
  for (const RequestSend &Send : Result.Sends)
    if (const Call &Of = Calls.at(Send.Id); Send.Attempt == 1)
      ++Served[{Of.Ticket.Upstream, Of.Ticket.Team}];
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

void RequestWorld::pump(std::size_t At) {
  Process &Of = Processes[At];
  if (Of.Paused)
    return;
  const auto Before = eligible(At);
  const DispatchResult Result = Of.Router->dispatch(Now);
  require(Result.Sends.empty() || Now < Of.AuthorityUntil,
          "nothing is dispatched without authority");
  for (const RequestFailure &Failure : Result.Failures)
    conclude(Failure.Id, Failure.Reason.outcome());
  for (const RequestSend &Send : Result.Sends) {
    Call &Sent = Calls.at(Send.Id);
    require(!Sent.Final, "nothing is sent after its final result");
    require(Sent.Router == At, "a send belongs to its router");
    require(Send.Timeout > 0ms && Now + Send.Timeout <= Sent.Ticket.Deadline,
            "a timeout ends by the deadline");
    require(Executors.at(Send.Executor).Upstream == Sent.Ticket.Upstream,
            "a send goes to its upstream");
    require(!Of.KnownLeaving.contains(Send.Executor),
            "a leaving executor gets nothing new");
    Sent.Fresh = false;
    Flights.push_back({At, Send, false, {}, 0});
  }
  checkFairness(At, Result, Before);
}

std::optional<std::size_t> RequestWorld::choose(unsigned Choice,
                                                bool IsRunning) {
  std::vector<std::size_t> Candidates;
  for (std::size_t I = 0; I < Flights.size(); ++I)
    if (Flights[I].Running == IsRunning && !Processes[Flights[I].Router].Paused)
      Candidates.push_back(I);
  if (Candidates.empty())
    return std::nullopt;
  return Candidates[Choice % Candidates.size()];
}

void RequestWorld::begin(unsigned Choice, unsigned Manner) {
  const std::optional<std::size_t> At = choose(Choice, false);
  if (!At)
    return;
  Flight &Of = Flights[*At];
  SendReport Report{Of.Send.Id, Of.Send.Attempt, SendResult::NotSent, 0, false,
                    1ms,        "test"};
  if (!Processes[Of.Router].Router->maySend(Of.Send, Now)) {
    Report.Withheld = true;
    report(*At, Report);
    return;
  }
  const Executor &To = Executors.at(Of.Send.Executor);
  if (To.State == Fault::Down) {
    report(*At, Report);
  } else if (To.State == Fault::Refusing || (To.Leaving && Manner % 2 == 0)) {
    Report.Result = SendResult::Refused;
    Report.Leaving = To.Leaving;
    if (To.Leaving)
      Processes[Of.Router].KnownLeaving.insert(Of.Send.Executor);
    report(*At, Report);
  } else {
    execute(Of);
  }
}

void RequestWorld::execute(Flight &Of) {
  Call &Sent = Calls.at(Of.Send.Id);
  require(Now < Processes[Of.Router].AuthorityUntil,
          "nothing is sent without authority");
  require(!Processes[Of.Router].KnownLeaving.contains(Of.Send.Executor),
          "a leaving executor gets nothing new");
  require(!Sent.Final, "nothing runs after its final result");
  ++Sent.Executions;
  require(Sent.Ticket.Idempotent || Sent.Executions == 1,
          "a non-idempotent request runs at most once");
  Of.Running = true;
  Of.Expires = std::min(Now + Of.Send.Timeout, Of.Send.Deadline);
  Of.ExecutionAt = ++Executions;
  // The executor knows nothing of the caller's deadline.
  Running[Of.ExecutionAt] = {Of.Send.Executor, Sent.Ticket.Team,
                             Now + LongestDeadline};
}

void RequestWorld::answer(unsigned Choice, unsigned Manner) {
  const std::optional<std::size_t> At = choose(Choice, true);
  if (!At)
    return;
  const Flight Of = Flights[*At];
  Running.erase(Of.ExecutionAt);
  report(*At, {Of.Send.Id, Of.Send.Attempt, SendResult::Answered,
               Manner % 5 == 0 ? 500 : 200, false, Duration(Manner % 200), ""});
}

void RequestWorld::lose(unsigned Choice) {
  const std::optional<std::size_t> At = choose(Choice, true);
  if (!At)
    return;
  const Flight Of = Flights[*At];
  report(*At, {Of.Send.Id, Of.Send.Attempt, SendResult::InDoubt, 0, false, 1ms,
               "reset"});
}

void RequestWorld::report(std::size_t FlightAt, const SendReport &Report) {
  const Flight Of = Flights[FlightAt];
  Flights.erase(Flights.begin() + std::ptrdiff_t(FlightAt));
  const Call &Sent = Calls.at(Report.Id);
  const bool WasFinal = Sent.Final.has_value();
  const CompletionResult Step =
      Processes[Of.Router].Router->complete(Report, Now);
  Reported.push_back(Report);
  ReportedBy.push_back(Of.Router);
  require(WasFinal == (Step.Action == CompletionAction::Ignore),
          "exactly the reports after the final result are ignored");
  if (Step.Action == CompletionAction::Deliver) {
    require(Report.Result == SendResult::Answered, "an answer is delivered");
    conclude(Report.Id, Outcome::Done);
  }
  if (Step.Action == CompletionAction::Fail)
    conclude(Report.Id, Step.Failure->outcome());
  pump(Of.Router);
}

void RequestWorld::repeat(unsigned Choice, unsigned Manner) {
  if (Reported.empty())
    return;
  const std::size_t At = Choice % Reported.size();
  SendReport Again = Reported[At];
  Again.Result = SendResult(Manner % 4);
  const CompletionResult Step =
      Processes[ReportedBy[At]].Router->complete(Again, Now);
  require(Step.Action == CompletionAction::Ignore,
          "a second report is ignored");
}

void RequestWorld::conclude(const std::string &Id, Outcome Result) {
  Call &Of = Calls.at(Id);
  require(!Of.Final, "a request has one final result");
  require(Result != Outcome::Done || Of.Executions > 0,
          "an answer comes from an execution");
  Of.Final = Result;
}

void RequestWorld::fault(unsigned Choice, unsigned Manner) {
  auto Where = Executors.begin();
  std::advance(Where, std::ptrdiff_t(Choice % Executors.size()));
  Where->second.State = Manner % 2 == 0   ? Fault::None
                        : Manner % 4 == 1 ? Fault::Down
                                          : Fault::Refusing;
}

void RequestWorld::leave(unsigned Choice) {
  auto Where = Executors.begin();
  std::advance(Where, std::ptrdiff_t(Choice % Executors.size()));
  if (Where->second.Leaving) {
    Where->second.Absent = true;
  } else {
    Where->second.Leaving = true;
    const std::string &Upstream = Where->second.Upstream;
    Executors[Upstream + std::to_string(Executors.size() + 1)].Upstream =
        Upstream;
  }
  publish();
}

void RequestWorld::publish() {
  std::vector<ListedExecutor> List;
  for (const auto &[Id, Of] : Executors)
    if (!Of.Absent)
      List.push_back({Id, Of.Upstream, Id, Id.back() % 2 ? "a" : "b",
                      Of.Leaving ? ListedState::Leaving : ListedState::Live});
  Lists.push_back(List);
}

void RequestWorld::readList(std::size_t At, unsigned Manner) {
  Process &Of = Processes[At];
  if (Of.Paused)
    return;
  // The list lags, but does not go back.
  Of.ListVersion =
      std::min(Lists.size() - 1, Of.ListVersion + std::size_t(Manner % 3));
  std::set<std::string> Live;
  for (const ListedExecutor &Entry : Lists[Of.ListVersion])
    if (Entry.State == ListedState::Live)
      Live.insert(Entry.Id);
  for (const ListedExecutor &Entry : Lists[Of.ListVersion])
    if (!Live.contains(Entry.Id))
      Of.KnownLeaving.insert(Entry.Id);
  Of.Router->setExecutors(Lists[Of.ListVersion], Now);
  pump(At);
}

void RequestWorld::grant(std::size_t At, unsigned Manner) {
  Process &Of = Processes[At];
  if (Of.Paused || Of.Reclaimed || Now >= Of.AuthorityUntil)
    return;
  for (const std::string &Upstream : Upstreams)
    grantSlots(At, Upstream, Manner);
  grantTeams(At, Manner);
  pump(At);
}

void RequestWorld::grantSlots(std::size_t At, const std::string &Upstream,
                              unsigned Manner) {
  RequestRouter &Router = *Processes[At].Router;
  RequestRouter::Amounts Held;
  for (const auto &[Id, Of] : Executors)
    if (Of.Upstream == Upstream && Slots[Id][At] > 0)
      Held[Id] = Slots[Id][At];
  // Lowered at the router first, then in the ledger.
  Router.setSlotGrants(Upstream, Held);
  for (const auto &[Id, Spare] : Router.releasableSlots(Upstream, Now))
    Held[Id] -= Spare;
  Router.setSlotGrants(Upstream, Held);
  for (const auto &[Id, Amount] : Held)
    Slots[Id][At] = Amount;
  for (const auto &[Id, Wish] : Router.desiredSlots(Upstream, Now)) {
    const std::int64_t Room = SlotsPerExecutor - sum(Slots[Id]);
    const std::int64_t More = std::min(Wish - Slots[Id][At], Room);
    if (More > 0)
      Held[Id] = Slots[Id][At] += More;
  }
  // The store's response is lost now and then.
  if (Manner % 5 != 0)
    Router.setSlotGrants(Upstream, Held);
}

void RequestWorld::grantTeams(std::size_t At, unsigned Manner) {
  Process &Of = Processes[At];
  RequestRouter::Amounts Held;
  for (const TeamName &Team : Teams)
    Held[Team] = Units[Team][At];
  Of.Router->setTeamGrants(Held);
  for (const auto &[Team, Spare] : Of.Router->releasableRequests(Now))
    Held[Team] -= Spare;
  Of.Router->setTeamGrants(Held);
  Of.TeamGrants = Held;
  for (const auto &[Team, Amount] : Held)
    Units[Team][At] = Amount;
  for (const auto &[Team, Wish] : Of.Router->desiredRequests(Now)) {
    const std::int64_t Room =
        std::int64_t(Settings.Teams[Team].Limit.Requests) - sum(Units[Team]);
    const std::int64_t More = std::min(Wish - Units[Team][At], Room);
    if (More > 0)
      Held[Team] = Units[Team][At] += More;
  }
  if (Manner % 7 != 0) {
    Of.Router->setTeamGrants(Held);
    Of.TeamGrants = Held;
  }
}

void RequestWorld::check() {
  std::map<std::string, std::int64_t> ByExecutor;
  std::map<TeamName, std::int64_t> ByTeam;
  for (const auto &[Unused, Of] : Running) {
    ++ByExecutor[Of.Executor];
    ++ByTeam[Of.Team];
  }
  for (const auto &[Id, Count] : ByExecutor)
    require(Count <= SlotsPerExecutor, "no executor is above its slots");
  for (const auto &[Team, Count] : ByTeam)
    // After a limit was lowered, grants shrink with the next rounds.
    require(Count <= std::max<std::int64_t>(Settings.Teams[Team].Limit.Requests,
                                            sum(Units[Team])),
            "no team is above its limit");
  for (const auto &[Id, Of] : Calls) {
    require(Of.Final != Outcome::NotRun || Of.Executions == 0,
            "what is not run did not run");
    require(Of.Final || Of.Ticket.Deadline > Now || Processes[Of.Router].Paused,
            "a final result comes by the deadline");
  }
  for (const Process &Of : Processes)
    for (const auto &[Team, Count] : Of.Router->stats().QueuedByTeam)
      // Requests that are sent again come on top of the bound.
      require(Count <= QueuePerTeam +
                           std::size_t(SlotsPerExecutor) * Executors.size(),
              "queues are bounded");
}

void RequestWorld::finish() {
  for (auto &[Id, Of] : Executors)
    Of.State = Fault::None;
  for (std::size_t At = 0; At < RouterCount; ++At)
    if (Processes[At].Paused)
      pause(At);
  for (int Round = 0; Round < 24; ++Round) {
    for (std::size_t At = 0; At < RouterCount; ++At) {
      renew(At, 8s);
      readList(At, 2);
      grant(At, 1);
    }
    while (choose(0, false))
      begin(0, 1);
    while (choose(0, true))
      answer(0, 1);
    check();
    tick(500ms);
    check();
  }
  for (const auto &[Id, Of] : Calls)
    require(Of.Final.has_value(), "every request gets a final result");
  for (const Process &Of : Processes) {
    require(Of.Router->open() == 0, "no request is left over");
    require(Of.Router->usedRequests().empty(), "no unit is left taken");
    for (const std::string &Upstream : Upstreams)
      require(Of.Router->usedSlots(Upstream).empty(), "no slot is left taken");
  }
}

} // namespace apricotwing
