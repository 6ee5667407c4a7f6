#include <LibLimits/LenderSelector.h>

#include <algorithm>

namespace lycheeseam {

namespace {

// Covers aTokens from the estimated balances, largest first; empty if they are
// too small together.
std::vector<slot_request>
TakeFromFullest(token_count aTokens, std::span<slot_request const> aUsable)
{
  std::vector<slot_request> requests;
  for (slot_request const& candidate : aUsable) {
    token_count const piece = std::min(aTokens, candidate.mTokens);
    if (piece <= 0)
      break;
    requests.push_back({ .mSlot = candidate.mSlot, .mTokens = piece });
    aTokens -= piece;
  }
  return aTokens == 0 ? requests : std::vector<slot_request>{};
}

}

lender_selector::lender_selector(slot_share aShare,
                                 std::span<slot_id const> aSlots)
  : mShare(aShare)
{
  // A slot whose holder has not answered yet is assumed to be full.
  for (slot_id const slot : aSlots)
    mViews[slot] = { .mLeft = aShare.mBurst };
}

std::vector<slot_request>
lender_selector::Plan(instant aNow,
                      token_count aTokens,
                      slot_fold const& aSlots,
                      instance_id const& aSelf)
{
  std::vector<slot_request> const usable =
    UsableSlots(aNow, aSlots, aSelf, aTokens);
  if (usable.empty())
    return {};
  std::vector<slot_request> requests = TakeFromFullest(aTokens, usable);
  if (requests.empty())
    requests = Spread(aTokens, usable);
  for (slot_request const& request : requests)
    mViews[request.mSlot].mLeft -= request.mTokens;
  return requests;
}

void
lender_selector::OnBalance(instant aNow, slot_id aSlot, token_count aLeft)
{
  slot_view& view = mViews[aSlot];
  view.mLeft = aLeft;
  view.mReportedAt = aNow;
}

void
lender_selector::Pause(slot_id aSlot, instant aUntil)
{
  mViews[aSlot].mPausedUntil = aUntil;
}

std::optional<instant>
lender_selector::NextPauseEnd(instant aNow) const
{
  std::optional<instant> next;
  for (auto const& [slot, view] : mViews) {
    if (view.mPausedUntil > aNow)
      next = next ? std::min(*next, view.mPausedUntil) : view.mPausedUntil;
  }
  return next;
}

token_count
lender_selector::Estimate(instant aNow, slot_view const& aView) const
{
  std::chrono::duration<double> const elapsed = aNow - aView.mReportedAt;
  double const accrued = elapsed.count() *
                         static_cast<double>(mShare.mFleetRate) /
                         static_cast<double>(mShare.mSlotCount);
  double const most = static_cast<double>(mShare.mBurst - aView.mLeft);
  return aView.mLeft + static_cast<token_count>(std::min(accrued, most));
}

std::vector<slot_request>
lender_selector::UsableSlots(instant aNow,
                             slot_fold const& aSlots,
                             instance_id const& aSelf,
                             token_count aTokens) const
{
  std::vector<slot_request> usable;
  std::optional<slot_request> own;
  for (auto const& [slot, view] : mViews) {
    slot_holder const* const holder = aSlots.Find(slot);
    if (holder == nullptr || aNow < view.mPausedUntil)
      continue;
    slot_request const candidate{ .mSlot = slot,
                                  .mTokens = Estimate(aNow, view) };
    // A slot of this instance that covers all the tokens needs no message.
    if (holder->mInstance == aSelf && candidate.mTokens >= aTokens && !own)
      own = candidate;
    else
      usable.push_back(candidate);
  }
  auto const byBalance = [](slot_request const& aLeft,
                            slot_request const& aRight) {
    return aLeft.mTokens > aRight.mTokens;
  };
  std::stable_sort(usable.begin(), usable.end(), byBalance);
  if (own)
    usable.insert(usable.begin(), *own);
  return usable;
}

std::vector<slot_request>
lender_selector::Spread(token_count aTokens,
                        std::span<slot_request const> aUsable) const
{
  // A slot is likely to have half its burst before long, so each request is for
  // about that much.
  token_count const likely = std::max<token_count>(1, mShare.mBurst / 2);
  token_count const wanted = (aTokens + likely - 1) / likely;
  token_count const pieces =
    std::min(wanted, static_cast<token_count>(aUsable.size()));
  token_count const piece = (aTokens + pieces - 1) / pieces;
  std::vector<slot_request> requests;
  for (slot_request const& candidate :
       aUsable.first(static_cast<std::size_t>(pieces)))
    requests.push_back(
      { .mSlot = candidate.mSlot, .mTokens = std::min(piece, mShare.mBurst) });
  return requests;
}

}
