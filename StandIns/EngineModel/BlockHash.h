#pragma once

#include <LibCore/Ordinal.h>

namespace lycheeseam::standin {

/// A block of a prompt, known by the hash of the chain that ends with it.
using block_hash = ordinal<struct block_hash_tag>;

}
