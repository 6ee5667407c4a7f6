#pragma once

#include <LibCore/Ordinal.h>

namespace lycheeseam {

/// How often the store has come back from an older copy of itself. Records that
/// were appended after the copy are gone, and their offsets are given out
/// again.
using store_era = ordinal<struct store_era_tag>;

}
