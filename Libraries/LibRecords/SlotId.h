#pragma once

#include <LibCore/Identifiers.h>

namespace lycheeseam {

/// Identifies a budget slot, which contains the tokens of some workspaces. An
/// instance becomes the slot's holder by a slot_claim record.
using slot_id = ordinal<struct slot_tag>;

}
