#pragma once

#include <LibCore/Instant.h>
#include <LibLimits/BudgetTiming.h>
#include <LibLimits/LendingState.h>
#include <LibLimits/QuorumAnswer.h>
#include <LibLimits/SlotLayout.h>

#include <cstddef>
#include <map>
#include <set>
#include <span>

namespace lycheeseam {

/// Decides whether this instance may lend from the slots that it holds.
///
/// It may lend for mConfirmBound after it has read the log's tail. During an
/// outage of the log it may go on while it has had contact, without a break
/// since that read, with the holders of more than half of the slots, or while
/// it holds that many itself. This is safe because a slot that another instance
/// claims opens only when its former holder has folded the claim or such a
/// majority reports that holder unresponsive (slot_release), and any two
/// majorities share a slot.
class lending_quorum
{
public:
  lending_quorum(slot_layout aLayout, budget_timing aTiming);

  /// Records that every entry which the log held at aReadAt is folded.
  void OnTailRead(instant aReadAt);

  /// Sets the slots that this instance holds and has opened.
  void OnOwnSlots(std::span<slot_id const> aSlots);

  /// Records a slot holder's answer to a probe.
  void OnQuorumAnswer(instant aNow, quorum_answer const& aAnswer);

  /// Whether tokens may be lent now.
  [[nodiscard]] lending_state StateAt(instant aNow) const;

private:
  [[nodiscard]] std::size_t Majority() const;
  [[nodiscard]] instant MajorityContactAt() const;

  slot_layout mLayout;
  budget_timing mTiming;
  bool mHasRead = false;
  /// Until when the last read allows lending.
  instant mReadValidUntil;
  /// There was contact with a majority from mContactSince to mContactUntil
  /// without a break.
  instant mContactSince;
  instant mContactUntil;
  /// Whether that contact has lasted without a break since a read of the tail.
  bool mIsContactUnbroken = false;
  std::set<slot_id> mOwnSlots;
  /// For each slot, when the last probe that its holder answered was sent.
  std::map<slot_id, instant> mContacts;
};

}
