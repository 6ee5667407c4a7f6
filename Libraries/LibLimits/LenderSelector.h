#pragma once

#include <LibCore/Instant.h>
#include <LibLimits/SlotFold.h>
#include <LibLimits/SlotRequest.h>
#include <LibLimits/SlotShare.h>

#include <map>
#include <optional>
#include <span>
#include <vector>

namespace lycheeseam {

/// Selects the slots from whose holders a borrower requests one workspace's
/// tokens, by the balances that their last answers reported.
class lender_selector
{
public:
  lender_selector(slot_share aShare, std::span<slot_id const> aSlots);

  /// Applies new limits.
  void SetShare(slot_share aShare) noexcept { mShare = aShare; }

  /// Requests that together cover aTokens, as few as the balances allow. They
  /// cover less if the bursts of the usable slots do; empty while every slot is
  /// paused or has no holder.
  std::vector<slot_request> Plan(instant aNow,
                                 token_count aTokens,
                                 slot_fold const& aSlots,
                                 instance_id const& aSelf);

  /// Records a lender's balance less the tokens of its queued requests.
  void OnBalance(instant aNow, slot_id aSlot, token_count aLeft);

  /// Skips a slot until aUntil.
  void Pause(slot_id aSlot, instant aUntil);

  /// When the next pause of a slot ends.
  [[nodiscard]] std::optional<instant> NextPauseEnd(instant aNow) const;

private:
  struct slot_view
  {
    /// The balance last reported, less the tokens planned since; may be
    /// negative.
    token_count mLeft = 0;
    instant mReportedAt;
    instant mPausedUntil;
  };

  [[nodiscard]] token_count Estimate(instant aNow,
                                     slot_view const& aView) const;
  [[nodiscard]] std::vector<slot_request> UsableSlots(
    instant aNow,
    slot_fold const& aSlots,
    instance_id const& aSelf,
    token_count aTokens) const;
  [[nodiscard]] std::vector<slot_request> Spread(
    token_count aTokens,
    std::span<slot_request const> aUsable) const;

  slot_share mShare;
  std::map<slot_id, slot_view> mViews;
};

}
