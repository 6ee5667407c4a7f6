#pragma once

#include <LibCore/Ordinal.h>

namespace lycheeseam {

/// Tells the links of one process apart; never used again.
using link_number = ordinal<struct link_tag>;

}
