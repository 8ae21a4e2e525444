#include "runmonitor.h"

#include "core/nametable.h"

#include <algorithm>

namespace apricotwing::emulator {

namespace {

/// Interval of the checks.
constexpr Duration CheckStep{100};

/// Interval at which a caller repeats its call.
constexpr Duration CallRetryDelay{400};

/// Time within which a cell without faults has leaders, and acknowledges the
/// cancellation of any job that it knows.
constexpr Duration RecoveryTime{15'000};

/// What the platform adds to StopTime before it looks for runs.
constexpr Duration CheckDelay{1000};

constexpr NameTable<jobs::JobView, 6> ViewNames = {{
    {jobs::JobView::Unknown, "unknown"},
    {jobs::JobView::Queued, "queued"},
    {jobs::JobView::InProgress, "in progress"},
    {jobs::JobView::Completed, "completed"},
    {jobs::JobView::Failed, "failed"},
    {jobs::JobView::Cancelled, "cancelled"},
}};

bool isActive(jobs::JobView View) {
  return View == jobs::JobView::Queued || View == jobs::JobView::InProgress;
}

bool isRefused(const JobRecord &Job) {
  return !Job.Accepted && !Job.Unresolved;
}

std::string textOf(TimePoint When) {
  return std::to_string(When.time_since_epoch().count());
}

} // namespace

RunMonitor::RunMonitor(EmulatedCell &Cell)
    : Cell(Cell), Instances(Cell.names()), LastDisturbance(Cell.time().now()) {}

void RunMonitor::run(Duration Length) {
  const TimePoint Until = Cell.time().now() + Length;
  while (Cell.time().now() < Until) {
    repeatCancels();
    Cell.run(std::min(CheckStep, Until - Cell.time().now()));
    checkWhileCalm();
  }
}

void RunMonitor::noteDisturbance() { LastDisturbance = Cell.time().now(); }

void RunMonitor::cancel(const std::string &Instance, const std::string &Id) {
  const auto At = std::find(Instances.begin(), Instances.end(), Instance);
  PendingCancels[Id] = std::size_t(At - Instances.begin());
  NextCancels = Cell.time().now();
  repeatCancels();
}

void RunMonitor::repeatCancels() {
  std::erase_if(PendingCancels, [this](const auto &Entry) {
    const JobRecord &Job = Cell.jobs().at(Entry.first);
    return Job.Cancelled || isRefused(Job);
  });
  if (Cell.time().now() < NextCancels)
    return;
  NextCancels = Cell.time().now() + CallRetryDelay;
  for (auto &[Id, Next] : PendingCancels)
    Cell.cancel(Instances[Next++ % Instances.size()], Id);
}

void RunMonitor::checkWhileCalm() {
  const TimePoint Now = Cell.time().now();
  const int Crashes = Cell.workers().taskCrashes();
  if (Cell.hasFaults() || Crashes != SeenCrashes)
    noteDisturbance();
  SeenCrashes = Crashes;
  if (Now - LastDisturbance < CalmTime)
    return;
  const std::set<std::string> AtWork = Cell.workers().activeTasks();
  for (const auto &[Id, Job] : Cell.jobs()) {
    if (!Job.Cancelled)
      continue;
    for (int Index = 0; Index < Job.Spec.Steps.front().Count; ++Index) {
      const std::string Task = jobs::TaskId{Id, 0, 0, Index}.text();
      checkTask(Job, Task, AtWork.contains(Task));
    }
  }
}

void RunMonitor::checkTask(const JobRecord &Job, const std::string &Task,
                           bool AtWork) {
  const std::string Since =
      ", cancelled at " + textOf(Job.CancelledAt) + ", in a calm cell";
  if (AtWork && Cell.time().now() - Job.CancelledAt > StopTime)
    fail(Task, "at work at " + textOf(Cell.time().now()) + Since);
  const auto Start = Cell.workers().lastStart(Task);
  if (Start && *Start - Job.CancelledAt > CancelTime &&
      *Start - LastDisturbance >= CalmTime)
    fail(Task, "started at " + textOf(*Start) + Since);
}

void RunMonitor::settle(const std::vector<std::string> &Ids) {
  noteDisturbance();
  const TimePoint Until = Cell.time().now() + RecoveryTime;
  while (!Cell.isLed() && Cell.time().now() < Until)
    run(CheckStep);
  if (!Cell.isLed())
    Violations.emplace_back("a shard has no leader although all is well");
  runUntilCancelled(Ids);
  // A submission that is still open may become a job after the reads.
  run(cell::ClientCall().Deadline);
  readAll();
  run(StopTime + CheckDelay);
  for (const std::string &Id : Ids)
    if (!Cell.jobs().at(Id).Cancelled && isActive(Cell.jobs().at(Id).View))
      Violations.push_back(Id + " is active and its cancellation is not " +
                           "acknowledged although all is well");
  checkOrphans();
}

void RunMonitor::runUntilCancelled(const std::vector<std::string> &Ids) {
  for (const std::string &Id : Ids)
    if (!Cell.jobs().at(Id).Cancelled)
      cancel(Instances.front(), Id);
  const TimePoint Until = Cell.time().now() + RecoveryTime;
  const auto IsOpen = [this](const std::string &Id) {
    const JobRecord &Job = Cell.jobs().at(Id);
    return !Job.Cancelled && !isRefused(Job);
  };
  while (std::any_of(Ids.begin(), Ids.end(), IsOpen) &&
         Cell.time().now() < Until)
    run(CheckStep);
}

void RunMonitor::readAll() {
  const TimePoint Begin = Cell.time().now();
  const auto IsOpen = [Begin](const auto &Entry) {
    return Entry.second.ViewedAt <= Begin;
  };
  const auto &Jobs = Cell.jobs();
  while (std::any_of(Jobs.begin(), Jobs.end(), IsOpen)) {
    if (Cell.time().now() - Begin >= RecoveryTime) {
      Violations.emplace_back("a read has no answer although all is well");
      return;
    }
    for (const std::string &Name : Instances)
      for (const auto &Entry : Jobs)
        if (IsOpen(Entry))
          Cell.read(Name, Entry.first);
    run(CallRetryDelay);
  }
}

void RunMonitor::checkOrphans() {
  for (const std::string &Task : Cell.workers().activeTasks()) {
    const JobRecord &Job = Cell.jobs().at(jobs::TaskId::parse(Task)->Job);
    if (Job.Cancelled)
      fail(Task, "at work at the end, cancelled at " + textOf(Job.CancelledAt));
    else if (isRefused(Job))
      fail(Task, "at work at the end, refused");
    else if (!isActive(Job.View))
      fail(Task, "at work at the end, job is " +
                     std::string(enumName(ViewNames, Job.View)));
  }
}

void RunMonitor::fail(const std::string &Task, const std::string &Text) {
  if (Reported.insert(Task).second)
    Violations.push_back(std::string("orphan: ").append(Task) + " " + Text);
}

} // namespace apricotwing::emulator
