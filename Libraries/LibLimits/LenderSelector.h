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

/// Chooses which homes of one workspace a borrower asks, by what their last
/// answers told of their balances.
class lender_selector
{
public:
  lender_selector(slot_share aShare, std::span<slot_id const> aHomes);

  /// Puts new limits in force.
  void SetShare(slot_share aShare) noexcept { mShare = aShare; }

  /// The asks that together bring aTokens, as few as the balances allow;
  /// empty while every home is paused or without a holder.
  std::vector<slot_request> Plan(instant aNow,
                                 token_count aTokens,
                                 slot_fold const& aSlots,
                                 instance_id const& aSelf);

  /// A home has told its balance less what waits for it.
  void OnBalance(instant aNow, slot_id aSlot, token_count aLeft);

  /// Leaves a home out until then.
  void Pause(slot_id aSlot, instant aUntil);

  /// When the next paused home may be asked again.
  [[nodiscard]] std::optional<instant> NextPauseEnd(instant aNow) const;

private:
  struct home_view
  {
    token_count mLeft = 0;
    instant mToldAt;
    instant mPausedUntil;
  };

  [[nodiscard]] token_count Estimate(instant aNow,
                                     home_view const& aView) const;
  [[nodiscard]] std::vector<slot_request> Usable(instant aNow,
                                                 slot_fold const& aSlots,
                                                 instance_id const& aSelf,
                                                 token_count aTokens) const;
  [[nodiscard]] std::vector<slot_request> Spread(
    token_count aTokens,
    std::span<slot_request const> aUsable) const;

  slot_share mShare;
  std::map<slot_id, home_view> mViews;
};

}
