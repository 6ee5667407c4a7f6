#pragma once

#include <LibCore/Ordinal.h>

namespace lycheeseam {

/// Names one block of a prompt together with all that precedes it, its
/// workspace and its weights; equal hashes mean an equal prefix. Within one
/// process and its peers only: the hash is no secret and no signature.
using block_hash = ordinal<struct block_hash_tag>;

}
