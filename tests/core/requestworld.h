/// \file
/// Simulation of several request routers that share fake executors and grants.
/// An oracle counts the requests that run on the executors.
#ifndef APRICOTWING_TESTS_CORE_REQUESTWORLD_H
#define APRICOTWING_TESTS_CORE_REQUESTWORLD_H

#include "core/requestrouter.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace apricotwing {

enum class WorldAction {
  Submit,
  Tick,
  Pause,
  Authority,
  Begin,
  Answer,
  Lose,
  Repeat,
  Fault,
  Leave,
  ReadList,
  Grant,
  Reclaim,
  Limit,
  ReadConfig,
};

/// Simulates three routers, two upstreams and three teams in virtual time. The
/// executors do not enforce their limits, so that every error of a router shows
/// in their counts. Any method throws Violation when an invariant is violated.
class RequestWorld {
public:
  struct Violation : std::runtime_error {
    using std::runtime_error::runtime_error;
  };

  RequestWorld();

  /// Performs one action. The numbers select its target and variant.
  void perform(WorldAction Action, unsigned A, unsigned B, unsigned C);

  /// Ends all faults, lets all requests finish, and checks that no slot or unit
  /// has leaked.
  void finish();

private:
  enum class Fault { None, Down, Refusing };

  struct Executor {
    std::string Upstream;
    Fault State = Fault::None;
    bool Leaving = false;
    bool Absent = false;
  };

  struct Execution {
    std::string Executor;
    TeamName Team;
    TimePoint Until; ///< Time at which the execution ends at the latest.
  };

  struct ActiveSend {
    std::size_t Router = 0;
    RequestSend Send;
    bool Running = false; ///< Its first byte has been sent.
    TimePoint Expires;    ///< Time at which the client times out.
    std::size_t ExecutionId = 0;
  };

  struct Call {
    RequestMetadata Metadata;
    std::size_t Router = 0;
    bool NeverSent = true; ///< The request has not been dispatched yet.
    int Executions = 0;
    std::optional<Outcome> Final;
  };

  struct Process {
    std::unique_ptr<RequestRouter> Router;
    bool Paused = false;
    TimePoint AuthorityUntil;
    bool Reclaimed = false;
    std::size_t ListVersion = 0;
    std::set<std::string> KnownLeaving;
    RequestRouter::Amounts TeamGrants;
    Config Known;
    std::map<std::pair<std::string, TeamName>, int> Skipped;
  };

  using GrantTable = std::map<std::string, std::map<std::size_t, std::int64_t>>;

  void submit(std::size_t At, unsigned B, unsigned C);
  void tick(Duration Step);
  void pause(std::size_t At);
  void renew(std::size_t At, Duration Valid);
  void beginSend(unsigned Choice, unsigned Variant);
  void answerSend(unsigned Choice, unsigned Variant);
  void loseResponse(unsigned Choice);
  void repeatReport(unsigned Choice, unsigned Variant);
  void setFault(unsigned Choice, unsigned Variant);
  void removeExecutor(unsigned Choice);
  void readList(std::size_t At, unsigned Variant);
  void grant(std::size_t At, unsigned Variant);
  void grantSlots(std::size_t At, const std::string &Upstream,
                  unsigned Variant);
  void grantTeams(std::size_t At, unsigned Variant);
  void reclaim(std::size_t At);

  void dispatchAndCheck(std::size_t At);
  void checkFairness(std::size_t At, const DispatchResult &Result,
                     const std::map<std::pair<std::string, TeamName>, int> &);
  std::map<std::pair<std::string, TeamName>, int> eligible(std::size_t At);
  void execute(ActiveSend &Active);
  void report(std::size_t SendIndex, const SendReport &Report);
  void setFinalOutcome(const std::string &Id, Outcome Result);
  void publish();
  void check();
  std::optional<std::size_t> chooseSend(unsigned Choice, bool Running);
  static std::int64_t sum(const std::map<std::size_t, std::int64_t> &ByRouter);
  static void require(bool Condition, const std::string &Invariant);

  TimePoint Now{std::chrono::hours(1)};
  Config Settings;
  std::vector<Process> Processes;
  std::map<std::string, Executor> Executors;
  std::vector<std::vector<ListedExecutor>> Lists;
  std::vector<ActiveSend> ActiveSends;
  std::vector<SendReport> Reported;
  std::vector<std::size_t> ReportedBy;
  std::map<std::size_t, Execution> Running;
  std::size_t Executions = 0;
  std::map<std::string, Call> Calls;
  GrantTable Slots;
  GrantTable Units;
};

} // namespace apricotwing

#endif
