#pragma once

#include <LibCore/Ordinal.h>

namespace lycheeseam {

/// Identifies a snapshot request among those of one instance.
using snapshot_number = ordinal<struct snapshot_tag>;

}
