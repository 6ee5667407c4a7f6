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

/// Decides whether this instance knows enough to decide on keyed work.
///
/// Most instances being within reach is judged by direct signs of linked
/// peers, and for the others by the signs of their failure domains, which
/// spread from peer to peer: a cut separates domains, and their number stays
/// small when that of instances doesn't.
class freshness
{
public:
  freshness(instance_id aSelf, freshness_options aOptions, instant aNow);

  /// All entries of the log up to this one are applied.
  void OnApplied(log_offset aOffset);

  /// This instance read where the log's tail is, by a read that it sent then.
  /// It counts once all up to that tail is applied.
  void OnTailRead(log_offset aTail, instant aSentAt);

  /// A peer gave a sign that echoes a message of this instance. Its word on
  /// the tail counts as this instance's own reads do. An echo of what this
  /// instance can't have sent is dropped.
  void OnPeerSign(peer_observation const& aSign, instant aNow);

  /// To be called several times within the pause limit.
  void OnTick(instant aNow);

  /// The verdict, where aMembers are all instances that should be there and
  /// aLinked those of them that this instance keeps links to.
  [[nodiscard]] freshness_verdict Assess(
    instant aNow,
    std::span<member const> aMembers,
    std::span<instance_id const> aLinked) const;

  /// What to tell peers of the tail; nothing before the first reading and
  /// after a pause.
  [[nodiscard]] std::optional<tail_observation> Tail(instant aNow) const;

  /// What to tell peers of failure domains.
  [[nodiscard]] std::vector<domain_observation> DomainSigns(instant aNow) const;

private:
  /// Where the tail was at a moment.
  struct tail_reading
  {
    log_offset mTail;
    instant mAt{};
  };

  [[nodiscard]] bool IsRecent(std::optional<instant> aAt, instant aNow) const;
  [[nodiscard]] bool IsWithinReach(member const& aMember,
                                   std::span<instance_id const> aLinked,
                                   instant aNow) const;

  instance_id mSelf;
  freshness_options mOptions;
  instant mLastTick;
  /// Nothing counts that was true before this: a pause ended here.
  instant mNotBefore;
  /// When the last pause ended; nothing before the first.
  std::optional<instant> mPauseEnded;
  log_offset mApplied;
  /// The latest reading up to which all is applied.
  std::optional<tail_reading> mReading;
  /// Readings of tails that aren't applied yet, by tail.
  std::map<log_offset, instant> mAhead;
  std::map<instance_id, instant> mPeerSigns;
  std::map<domain_code, instant> mDomainSigns;
};

}
