#pragma once

#include <LibRecords/RecordOrigin.h>
#include <LibRecords/SlotId.h>

namespace lycheeseam {

/// Takes a budget slot. It counts when the slot's last claim is still the
/// one that the claimer saw.
struct slot_claim
{
  record_origin mOrigin;
  slot_id mSlot;
  /// The offset of the claim being replaced; 0 when the slot was free.
  log_offset mBase;

  bool operator==(slot_claim const&) const = default;
};

}
