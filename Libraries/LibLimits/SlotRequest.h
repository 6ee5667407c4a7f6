#pragma once

#include <LibCore/Identifiers.h>
#include <LibRecords/SlotId.h>

namespace lycheeseam {

/// How many tokens to request from the holder of one slot.
struct slot_request
{
  slot_id mSlot;
  token_count mTokens = 0;

  bool operator==(slot_request const&) const = default;
};

}
