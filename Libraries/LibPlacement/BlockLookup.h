#pragma once

#include <LibCore/Identifiers.h>
#include <LibPlacement/BlockHash.h>
#include <LibPlacement/LookupNumber.h>

#include <vector>

namespace lycheeseam {

/// A query to the prefix owner: which servers cache the blocks of a prompt.
struct block_lookup
{
  lookup_number mNumber;
  pool_name mPool;
  std::vector<block_hash> mBlocks;

  bool operator==(block_lookup const&) const = default;
};

}
