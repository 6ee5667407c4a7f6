#pragma once

#include <LibCore/Ordinal.h>

namespace lycheeseam {

/// Tells the snapshot requests of one instance apart.
using snapshot_number = ordinal<struct snapshot_tag>;

}
