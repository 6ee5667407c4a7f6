#pragma once

#include <LibCore/Identifiers.h>

namespace lycheeseam {

/// Names one append for good: its author reads it back after a lost answer.
using proposal_id = identifier<struct proposal_tag>;

}
