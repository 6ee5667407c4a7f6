#pragma once

#include <LibCore/Ordinal.h>

namespace lycheeseam {

/// Identifies a claim among all claims of one incarnation of an instance, also
/// among several for the same key.
using claim_number = ordinal<struct claim_number_tag>;

}
