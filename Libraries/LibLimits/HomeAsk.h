#pragma once

#include <LibCore/Identifiers.h>
#include <LibRecords/SlotId.h>

namespace lycheeseam {

/// How many tokens to ask of one home.
struct home_ask
{
  slot_id mSlot;
  token_count mTokens = 0;

  bool operator==(home_ask const&) const = default;
};

}
