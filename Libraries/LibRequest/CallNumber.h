#pragma once

#include <LibCore/Identifiers.h>

namespace lycheeseam {

/// A call's number within one process; never used again, so that a late
/// piece of one answer can't reach another caller.
using call_number = ordinal<struct call_tag>;

}
