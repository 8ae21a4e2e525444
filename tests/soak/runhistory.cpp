#include "soak/runhistory.h"

#include <array>

namespace apricotwing::soak {

const char *deliveryName(Delivery How) {
  static constexpr std::array Names = {"direct", "late", "to the next process",
                                       "late, to the next process"};
  return Names[std::size_t(How)];
}

std::string RunRecord::describe(std::int64_t OriginMs) const {
  return "run " + std::to_string(Run) + " on " + Worker + " from " +
         std::to_string(StartMs - OriginMs) + " ms to " +
         (EndKind.empty()
              ? "now"
              : std::to_string(EndMs - OriginMs) + " ms, " + EndKind +
                    (Noted ? " and noted" : "") +
                    (Lapsed && EndKind == "done" ? ", the lease lapsed after it"
                                                 : "")) +
         "; token " + std::to_string(Token) + ", start " +
         deliveryName(StartedBy);
}

std::size_t RunHistory::start(const std::string &Task, std::int64_t Run,
                              const std::string &Worker, std::int64_t Token,
                              Delivery StartedBy, std::int64_t NowMs) {
  RunRecord &Fresh = Records.emplace_back();
  Fresh.Task = Task;
  Fresh.Run = Run;
  Fresh.Worker = Worker;
  Fresh.Token = Token;
  Fresh.StartedBy = StartedBy;
  Fresh.StartMs = NowMs;
  Fresh.StartOrder = ++LastOrder;
  return Records.size() - 1;
}

void RunHistory::end(std::size_t Record, const std::string &Kind,
                     std::int64_t NowMs) {
  RunRecord &Ended = Records.at(Record);
  Ended.EndKind = Kind;
  Ended.EndMs = NowMs;
  Ended.EndOrder = ++LastOrder;
}

void RunHistory::lapse(std::size_t Record) {
  RunRecord &Ended = Records.at(Record);
  Ended.Lapsed |= !Ended.Noted;
}

void RunHistory::acknowledge(std::size_t Record) {
  RunRecord &Ended = Records.at(Record);
  Ended.Noted |= !Ended.Lapsed;
}

std::vector<RepeatedTask> RunHistory::repeatedTasks() const {
  std::map<std::string, std::vector<const RunRecord *>> ByTask;
  for (const RunRecord &Record : Records)
    ByTask[Record.Task].push_back(&Record);
  std::vector<RepeatedTask> Result;
  for (const auto &[Task, Runs] : ByTask)
    for (std::size_t Later = 1; Later < Runs.size(); ++Later)
      for (std::size_t Earlier = 0; Earlier < Later; ++Earlier) {
        const RunRecord &Former = *Runs[Earlier];
        const bool Overlap = Former.EndOrder > Runs[Later]->StartOrder;
        const bool WasDone = Former.EndKind == "done" && Former.Noted;
        if (!Overlap && !WasDone)
          continue;
        Result.push_back({Overlap ? "two runs at once" : "done before", Former,
                          *Runs[Later]});
        break;
      }
  return Result;
}

} // namespace apricotwing::soak
