#pragma once

#include <LibPlacement/BlockAnswer.h>
#include <LibPlacement/BlockLookup.h>
#include <LibPlacement/BlockUpdate.h>

#include <variant>

namespace lycheeseam {

/// Any message between instances about cached blocks.
using block_message = std::variant<block_lookup, block_answer, block_update>;

}
