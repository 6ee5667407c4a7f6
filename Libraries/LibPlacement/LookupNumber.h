#pragma once

#include <LibCore/Ordinal.h>

namespace lycheeseam {

/// Identifies a block_lookup among those of one requesting instance.
using lookup_number = ordinal<struct lookup_tag>;

}
