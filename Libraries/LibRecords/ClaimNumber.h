#pragma once

#include <LibCore/Ordinal.h>

namespace lycheeseam {

/// Tells the claims of one life of an instance apart, also several for the
/// same key.
using claim_number = ordinal<struct claim_number_tag>;

}
