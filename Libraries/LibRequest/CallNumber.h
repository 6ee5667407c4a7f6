#pragma once

#include <LibCore/Identifiers.h>

namespace lycheeseam {

/// A call's number within one process. It is never reused, so that a late piece
/// of one answer can't reach another caller.
using call_number = ordinal<struct call_tag>;

}
