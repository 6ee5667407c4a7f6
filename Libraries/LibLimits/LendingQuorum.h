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

/// Decides whether this instance may lend from the slots it holds.
///
/// It may while it has read the log's tail within the confirm bound. In a log
/// outage it may as long as it has been in touch with the holders of more
/// than half of the slots without a break since it last read the tail: a slot
/// that was claimed anew opens only on the word of such a majority that its
/// former holder is silent (slot_release), and two majorities share a slot.
class lending_quorum
{
public:
  lending_quorum(slot_layout aLayout, budget_timing aTiming);

  /// This instance has folded every entry that the log held at aReadAt.
  void OnTailRead(instant aReadAt);

  /// The slots that this instance holds and has opened.
  void OnOwnSlots(std::span<slot_id const> aSlots);

  /// A holder of slots has answered a probe.
  void OnWord(instant aNow, quorum_answer const& aWord);

  /// Whether tokens may be lent now.
  [[nodiscard]] lending_state At(instant aNow) const;

private:
  [[nodiscard]] std::size_t Majority() const;
  [[nodiscard]] instant MajorityContactAt() const;

  slot_layout mLayout;
  budget_timing mTiming;
  bool mEverRead = false;
  /// The last read allows lending up to here.
  instant mReadUntil;
  /// A majority has been in touch from mContactSince to mContactUntil without
  /// a break.
  instant mContactSince;
  instant mContactUntil;
  /// The contact has not broken since a read of the tail.
  bool mIsChained = false;
  std::set<slot_id> mOwnSlots;
  /// When the probe was sent that each slot's holder answered last.
  std::map<slot_id, instant> mContacts;
};

}
