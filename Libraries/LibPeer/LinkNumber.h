#pragma once

#include <LibCore/Ordinal.h>

namespace lycheeseam {

/// Identifies a link within one process; never reused.
using link_number = ordinal<struct link_tag>;

}
