#pragma once

#include <LibRecords/RecordOrigin.h>
#include <LibRecords/SlotId.h>

namespace lycheeseam {

/// A log record that takes a budget slot. It takes effect when the slot's last
/// claim is still the one that the claimer read.
struct slot_claim
{
  record_origin mOrigin;
  slot_id mSlot;
  /// The offset of the claim being replaced; 0 when the slot was free.
  log_offset mBase;

  bool operator==(slot_claim const&) const = default;
};

}
