/// \file
/// Sends the calls of an instance's callers to the leader of one shard.
#ifndef APRICOTWING_CELL_LEADERCHANNEL_H
#define APRICOTWING_CELL_LEADERCHANNEL_H

#include "cell/callbackguard.h"
#include "cell/messages.h"
#include "cell/ports.h"

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace apricotwing::cell {

/// Sends calls in batches, each in one request whose response has the answers.
/// An idle channel sends at once; calls that arrive while a batch is on its way
/// go into the next one. Reads have a lane of their own, because writes are
/// answered only once they are stored. A call is sent again until it is
/// answered or dropped, also to the next leader; the leader recognizes repeated
/// submissions by the job id. There is no connection state, so an idle channel
/// costs nothing. Owned by a ShardAgent and used on its thread only.
class LeaderChannel {
public:
  /// Receivers of the answers.
  struct Receivers {
    std::function<void(const SubmitAnswer &)> Submitted;
    std::function<void(const QueryAnswer &)> Answered;
  };

  /// \p Process identifies the sending process.
  LeaderChannel(PeerTransport &Transport, const Clock &Time, int Shard,
                std::string Process, Receivers Owner);

  /// Sets the version of the policy in force, which is sent with the calls.
  void setPolicyVersion(std::int64_t Version) { PolicyVersion = Version; }

  /// Adds a call. Precondition: its tag is in use for no other open call.
  void submit(Submission NewSubmission);
  void query(Query NewQuery);

  /// Drops a call that needs no answer any more.
  void drop(std::uint64_t Tag);

  /// True if the call with \p Tag may have reached a leader.
  bool wasSent(std::uint64_t Tag) const;

  /// Sets the current leader. All open calls are sent to a new one at once.
  void setLeader(const LeaderRecord &Record);

  /// Name of the current leader's instance; empty while it is unknown.
  std::string leaderName() const {
    return Leader ? Leader->Instance.Name : std::string();
  }

  /// The current leader, if its last answer was as expected.
  std::optional<LeaderRecord> answeringLeader() const {
    return Suspect ? std::nullopt : Leader;
  }

  /// True if there are open calls and the leader is unknown or does not answer
  /// as expected, so that the leader record should be read.
  bool needsLeader() const;

  /// Sends the batches that are due. Must be called frequently.
  void pump();

  /// Maximum time for the answer to a batch. A commit to a slow store takes up
  /// to 0.7 s.
  static constexpr Duration ReadTimeout{500};
  static constexpr Duration WriteTimeout{900};

private:
  enum class Lane { Reads, Writes };
  static constexpr std::size_t Lanes = 2;

  struct Call {
    Lane Kind = Lane::Reads;
    std::optional<Submission> SubmitRequest;
    std::optional<Query> QueryRequest;
    int Sends = 0; ///< That a leader may have received.
  };
  struct Batch {
    Lane Kind = Lane::Reads;
    TimePoint SentAt;
    std::vector<std::uint64_t> Tags;
  };
  struct LaneState {
    std::deque<std::uint64_t> Waiting; ///< May contain dropped calls.
    int InFlight = 0;
    TimePoint NextSend;
  };

  LaneState &laneOf(Lane Kind) { return LaneStates[std::size_t(Kind)]; }
  void add(std::uint64_t Tag, Call NewCall);
  void sendBatch(Lane Kind);
  void onReply(std::uint64_t Number, const PeerResult &Result);
  void forgetLeader();

  PeerTransport &Transport;
  const Clock &Time;
  const int Shard;
  const std::string Process;
  const Receivers Owner;
  std::optional<LeaderRecord> Leader;
  std::int64_t PolicyVersion = 0;
  bool Suspect = false;                ///< The last batch got no valid reply.
  std::map<std::uint64_t, Call> Calls; ///< Open calls by tag.
  std::map<std::uint64_t, Batch> Batches; ///< On their way, by number.
  std::uint64_t LastBatch = 0;
  std::array<LaneState, Lanes> LaneStates;
  CallbackGuard Guard;
};

} // namespace apricotwing::cell

#endif
