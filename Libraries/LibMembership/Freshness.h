#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Instant.h>
#include <LibMembership/DomainCode.h>
#include <LibMembership/DomainObservation.h>
#include <LibMembership/FreshnessOptions.h>
#include <LibMembership/FreshnessVerdict.h>
#include <LibMembership/Member.h>
#include <LibMembership/PeerObservation.h>
#include <LibMembership/TailObservation.h>

#include <map>
#include <optional>
#include <span>
#include <vector>

namespace lycheeseam {

/// Decides whether this instance's copy of the log is recent enough to decide
/// on keyed requests.
///
/// It is when the log's tail was read within a bound, by this instance or by a
/// peer. Otherwise it depends on whether a majority of instances is reachable.
/// A linked peer is reachable by its own observations, any other instance by
/// the observations of its failure domain, which peers pass on. Partitions
/// separate failure domains, and there are few of these in a large fleet.
class freshness
{
public:
  freshness(instance_id aSelf, freshness_options aOptions, instant aNow);

  /// This instance has applied all entries of the log up to this one.
  void OnApplied(log_offset aOffset);

  /// This instance read the offset of the log's tail, with a read that it sent
  /// at aSentAt. The reading counts once all entries up to it are applied.
  void OnTailRead(log_offset aTail, instant aSentAt);

  /// A peer sent an observation that echoes a message of this instance. The
  /// tail in it counts like this instance's own readings. An echo of a time at
  /// which this instance can't have sent a message is ignored.
  void OnPeerObservation(peer_observation const& aObservation, instant aNow);

  /// Detects pauses of the process; to be called several times within the
  /// pause limit.
  void OnTick(instant aNow);

  /// The verdict, where aMembers are all expected instances and aLinked those
  /// of them that this instance keeps links to.
  [[nodiscard]] freshness_verdict Assess(
    instant aNow,
    std::span<member const> aMembers,
    std::span<instance_id const> aLinked) const;

  /// The tail to report to peers; nothing before the first reading and after a
  /// pause.
  [[nodiscard]] std::optional<tail_observation> Tail(instant aNow) const;

  /// The observations of failure domains to report to peers.
  [[nodiscard]] std::vector<domain_observation> DomainObservations(
    instant aNow) const;

private:
  /// The tail and the time at which it was read.
  struct tail_reading
  {
    log_offset mTail;
    instant mAt{};
  };

  [[nodiscard]] bool IsRecent(std::optional<instant> aAt, instant aNow) const;
  [[nodiscard]] bool IsReachable(member const& aMember,
                                 std::span<instance_id const> aLinked,
                                 instant aNow) const;

  instance_id mSelf;
  freshness_options mOptions;
  instant mLastTick;
  /// Observations from before this time are ignored: the start of the process
  /// or the end of its last pause.
  instant mIgnoreBefore;
  /// When the last pause ended; nothing before the first.
  std::optional<instant> mPauseEnded;
  log_offset mApplied;
  /// The latest reading up to which all entries are applied.
  std::optional<tail_reading> mReading;
  /// The time of each reading of a tail that isn't applied yet.
  std::map<log_offset, instant> mPendingReadings;
  std::map<instance_id, instant> mPeerObservedAt;
  std::map<domain_code, instant> mDomainObservedAt;
};

}
