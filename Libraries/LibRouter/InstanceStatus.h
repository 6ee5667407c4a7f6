#pragma once

#include <LibControl/InstanceView.h>
#include <LibMembership/DrainState.h>
#include <LibMembership/Freshness.h>
#include <LibMembership/MemberTable.h>
#include <LibSettings/DaemonSettings.h>

#include <optional>
#include <vector>

namespace lycheeseam {

/// This instance's status and its record of the others: members, freshness, the
/// progress of its own stop, and whether it reaches the log. The director reads
/// it as an instance_view. Used on the control thread.
class instance_status
{
public:
  instance_status(daemon_settings const& aSettings,
                  instance_identity aSelf,
                  instant aNow);

  // instance_view
  [[nodiscard]] freshness_verdict Freshness(instant aNow) const;
  [[nodiscard]] log_state Log(instant aNow) const;
  [[nodiscard]] bool Accepts(instant aNow) const;
  [[nodiscard]] bool IsAlive(instance_identity const& aIdentity) const;

  /// Records that this instance has applied all entries up to the log's tail,
  /// as returned by a read sent at aSentAt.
  void OnTailRead(log_offset aTail, instant aSentAt);

  /// Sets the peers that this instance keeps connections to.
  void SetLinked(std::vector<instance_id> aLinked);

  [[nodiscard]] instance_identity const& Self() const noexcept { return mSelf; }
  [[nodiscard]] member_table& Members() noexcept { return mMembers; }
  [[nodiscard]] member_table const& Members() const noexcept
  {
    return mMembers;
  }
  [[nodiscard]] freshness& FreshnessTracker() noexcept { return mFreshness; }
  [[nodiscard]] freshness const& FreshnessTracker() const noexcept
  {
    return mFreshness;
  }
  [[nodiscard]] drain_state& Drain() noexcept { return mDrain; }

private:
  instance_identity mSelf;
  // The age of the latest tail read above which the log counts as unreachable:
  // the longest wait of a log read plus the freshness bound.
  duration mLogBound;
  member_table mMembers;
  freshness mFreshness;
  drain_state mDrain;
  std::vector<instance_id> mLinked;
  // When the latest read that reached the tail was sent.
  std::optional<instant> mTailReadAt;
};

static_assert(instance_view<instance_status>);

}
