/// \file
/// The processes of the entry instances under test.
#ifndef APRICOTWING_SOAK_ENTRIES_H
#define APRICOTWING_SOAK_ENTRIES_H

#include <sys/types.h>

#include <array>
#include <atomic>
#include <mutex>
#include <string>
#include <thread>

namespace apricotwing::soak {

inline constexpr int EntryCount = 9;

/// Limits of the machine that the platform's settings file states.
struct MachineLimits {
  int MemoryMb = 260;
  int FileDescriptors = 4100;
};

/// Starts, signals and ends the entry instances. All of them use the same ports
/// and differ in their loopback address. Thread-safe.
class Entries {
public:
  static constexpr int ClientPort = 8183;
  static constexpr int ReadyPort = 8184;
  static constexpr int StorePort = 8182;
  static constexpr int AdvicePort = 8182;

  /// Entry N has the address .(11 + N) of \p Network ("127.A.B."), its store
  /// .(31 + N) and its advice service .(51 + N). Settings and logs go into
  /// \p Folder.
  Entries(std::string Program, std::string Network, std::string Folder,
          MachineLimits Limits = {});
  ~Entries();
  Entries(const Entries &) = delete;
  Entries &operator=(const Entries &) = delete;

  /// No effect if the process is up.
  void start(int Index);
  /// Waits until all are ready; false if they are not within 60 s.
  bool awaitReady();
  bool isReady(int Index);
  /// Process id; 0 if the process is not up.
  pid_t pid(int Index);
  /// SIGKILL; returns when the process is gone.
  void kill(int Index);
  /// SIGTERM, and SIGKILL if the process has not ended within \p GraceMs.
  void terminate(int Index, std::int64_t GraceMs);
  void freeze(int Index, bool Frozen);
  /// From now on each process runs 10 ms of every 40 ms.
  void throttle(bool Throttled);

  std::string ip(int Index) const {
    return Network + std::to_string(11 + Index);
  }
  std::string storeIp(int Index) const {
    return Network + std::to_string(31 + Index);
  }
  std::string adviceIp(int Index) const {
    return Network + std::to_string(51 + Index);
  }
  static std::string name(int Index);
  std::string logFile(int Index) const;
  /// Index of the entry of that name; -1 if there is none.
  static int indexOf(const std::string &Name);
  /// Number of processes that ended by themselves so far; restarts them.
  int restartEnded();

private:
  struct Process {
    pid_t Pid = 0;
    bool Frozen = false;
  };

  void signal(int Index, int Number);
  void runThrottle();
  std::string writeSettings(int Index) const;

  const std::string Program, Network, Folder;
  const MachineLimits Limits;
  std::mutex Mutex;
  std::array<Process, EntryCount> Processes;
  int EndedAlone = 0;
  std::atomic<bool> Throttled = false, Ending = false;
  std::thread Throttler;
};

} // namespace apricotwing::soak

#endif
