#pragma once

#include <LibControl/InstanceView.h>
#include <LibMembership/DrainState.h>
#include <LibMembership/Freshness.h>
#include <LibMembership/MemberTable.h>
#include <LibSettings/DaemonSettings.h>

#include <optional>
#include <vector>

namespace lycheeseam {

/// What this instance knows of itself and of the others: members, freshness,
/// its own stop, and whether the log answers. Decisions read it as an
/// instance_view.
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

  /// This instance read the log's tail by a read sent at that time, and has
  /// applied all up to it.
  void OnTailRead(log_offset aTail, instant aSentAt);

  /// Replaces the peers that this instance keeps links to.
  void SetLinked(std::vector<instance_id> aLinked);

  [[nodiscard]] instance_identity const& Self() const noexcept { return mSelf; }
  [[nodiscard]] member_table& Members() noexcept { return mMembers; }
  [[nodiscard]] member_table const& Members() const noexcept
  {
    return mMembers;
  }
  [[nodiscard]] freshness& Knowledge() noexcept { return mFreshness; }
  [[nodiscard]] freshness const& Knowledge() const noexcept
  {
    return mFreshness;
  }
  [[nodiscard]] drain_state& Drain() noexcept { return mDrain; }

private:
  instance_identity mSelf;
  duration mLogBound;
  member_table mMembers;
  freshness mFreshness;
  drain_state mDrain;
  std::vector<instance_id> mLinked;
  std::optional<instant> mTailReadAt;
};

static_assert(instance_view<instance_status>);

}
