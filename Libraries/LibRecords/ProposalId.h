#pragma once

#include <LibCore/Identifiers.h>

namespace lycheeseam {

/// Identifies one append permanently. When the answer to the append is lost,
/// its author looks for this id in the log.
using proposal_id = identifier<struct proposal_tag>;

}
