#pragma once

#include <LibCore/Instant.h>
#include <LibRollout/AllowedSoftware.h>
#include <LibRollout/RolloutLimits.h>
#include <LibRollout/RolloutState.h>
#include <LibRollout/SoftwareCount.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <vector>

namespace lycheeseam {

/// The part of a rollout_gate for one pool.
class pool_gate
{
public:
  /// Takes a state. One of an earlier order only tells what that order's end
  /// allows or withholds.
  void Apply(instant aNow, rollout_state const& aState);

  /// See rollout_gate.
  void OnServers(instant aNow, std::span<software_count const> aCounts);
  [[nodiscard]] allowed_software Choose(
    instant aNow,
    rollout_limits const& aLimits,
    std::uint64_t aHash,
    std::span<software_count const> aCounts);
  [[nodiscard]] allowed_software ChooseRepeat(
    instant aNow,
    std::span<software_count const> aCounts);

  [[nodiscard]] std::uint64_t TargetSends() const noexcept { return mSent; }

private:
  void Replace(instant aNow, rollout_state const& aState);
  void NoteEnd(rollout_state const& aState);
  [[nodiscard]] bool IsTooNew(instant aNow, instant aSeenAt) const;
  void UpdateWithheld(instant aNow, std::span<software_count const> aCounts);
  [[nodiscard]] allowed_software Allow(software_rule aRule) const;
  [[nodiscard]] bool HasOthers(std::span<software_count const> aCounts) const;
  [[nodiscard]] bool HasTarget(std::span<software_count const> aCounts) const;
  [[nodiscard]] software_rule RuleFor(
    bool aIsForTarget,
    std::span<software_count const> aCounts) const;
  [[nodiscard]] bool IsForTarget(instant aNow,
                                 rollout_limits const& aLimits,
                                 std::uint64_t aHash) const;
  [[nodiscard]] bool IsWithinPart(instant aNow,
                                  rollout_limits const& aLimits) const;

  std::optional<rollout_state> mState;
  /// When the newest state arrived, and the first one of its order.
  instant mHeardAt{};
  instant mOrderedAt{};
  /// The target of the last order that was completed.
  std::optional<software_version> mCompleted;
  std::uint64_t mCompletedNumber = 0;
  /// Targets of orders that were rolled back or replaced.
  std::set<software_version> mRejected;
  /// When each software was first seen; the start of time for what was there
  /// at first.
  std::map<software_version, instant> mSeenAt;
  /// What gets nothing, as of the last choice.
  std::vector<software_version> mWithheld;
  /// This instance's requests since mOrderedAt, and those for the target.
  std::uint64_t mArrived = 0;
  std::uint64_t mSent = 0;
};

}
