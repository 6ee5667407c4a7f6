#pragma once

#include <LibLimits/SlotHolder.h>
#include <LibLimits/SlotLayout.h>
#include <LibRecords/LogEntry.h>

#include <map>

namespace lycheeseam {

/// Who holds each budget slot, as of the entries applied.
class slot_fold
{
public:
  explicit slot_fold(slot_layout aLayout)
    : mLayout(aLayout)
  {
  }

  /// Takes the next entry in log order.
  void Apply(log_entry const& aEntry);

  /// The slot's holder, or null while it was never claimed.
  [[nodiscard]] slot_holder const* Find(slot_id aSlot) const;

  /// Every claimed slot; also what a checkpoint keeps.
  [[nodiscard]] std::map<slot_id, slot_holder> const& Holders() const noexcept
  {
    return mHolders;
  }

  /// Starts from a checkpoint's holders.
  void Restore(std::map<slot_id, slot_holder> aHolders);

  [[nodiscard]] slot_layout Layout() const noexcept { return mLayout; }

  bool operator==(slot_fold const&) const = default;

private:
  void ApplyClaim(log_offset aOffset, slot_claim const& aClaim);

  slot_layout mLayout;
  std::map<slot_id, slot_holder> mHolders;
};

}
