#pragma once

#include <LibLimits/SlotHolder.h>
#include <LibLimits/SlotLayout.h>
#include <LibRecords/LogEntry.h>

#include <map>

namespace lycheeseam {

/// The holder of each budget slot as of the log entries applied so far.
class slot_fold
{
public:
  explicit slot_fold(slot_layout aLayout)
    : mLayout(aLayout)
  {
  }

  /// Applies the next entry in log order.
  void Apply(log_entry const& aEntry);

  /// The slot's holder; null if the slot was never claimed.
  [[nodiscard]] slot_holder const* Find(slot_id aSlot) const;

  /// The holders of all claimed slots; checkpoints store them.
  [[nodiscard]] std::map<slot_id, slot_holder> const& Holders() const noexcept
  {
    return mHolders;
  }

  /// Replaces the holders by those of a checkpoint.
  void Restore(std::map<slot_id, slot_holder> aHolders);

  [[nodiscard]] slot_layout Layout() const noexcept { return mLayout; }

  bool operator==(slot_fold const&) const = default;

private:
  void ApplyClaim(log_offset aOffset, slot_claim const& aClaim);

  slot_layout mLayout;
  std::map<slot_id, slot_holder> mHolders;
};

}
