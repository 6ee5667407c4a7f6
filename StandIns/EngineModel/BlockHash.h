#pragma once

#include <LibCore/Ordinal.h>

namespace lycheeseam::standin {

/// Identifies a prompt block: the hash of the chain of blocks that ends with
/// it.
using block_hash = ordinal<struct block_hash_tag>;

}
