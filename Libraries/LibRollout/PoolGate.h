#pragma once

#include <LibCore/Instant.h>
#include <LibRollout/AllowedSoftware.h>
#include <LibRollout/RolloutLimits.h>
#include <LibRollout/RolloutState.h>
#include <LibRollout/SoftwareCount.h>

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <vector>

namespace lycheeseam {

/// The part of a rollout_gate for one pool.
class pool_gate
{
public:
  /// Takes a state; older ones only withhold what they rolled back.
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
  void Withhold(software_version const& aSoftware);
  void WithholdNew(instant aNow);
  [[nodiscard]] bool IsForTarget(instant aNow,
                                 rollout_limits const& aLimits,
                                 std::uint64_t aHash) const;
  [[nodiscard]] bool IsWithinPart(instant aNow,
                                  rollout_limits const& aLimits) const;
  [[nodiscard]] allowed_software Allow(
    software_rule aRule,
    std::span<software_count const> aCounts) const;
  [[nodiscard]] bool HasOthers(std::span<software_count const> aCounts) const;

  std::optional<rollout_state> mState;
  /// When the newest state arrived.
  instant mHeardAt{};
  /// The target of the last order that was completed.
  std::optional<software_version> mCompleted;
  std::uint64_t mCompletedNumber = 0;
  /// Targets of orders that were rolled back or replaced.
  std::vector<software_version> mRejected;
  /// mRejected and the software that is too new, as of the last choice.
  std::vector<software_version> mWithheld;
  /// When each software was first seen.
  std::map<software_version, instant> mSeenAt;
  bool mHasSeen = false;
  /// This instance's requests since it knows the order, and those of them for
  /// the target.
  instant mCountedFrom{};
  std::uint64_t mArrived = 0;
  std::uint64_t mSent = 0;
};

}
