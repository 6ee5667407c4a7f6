#pragma once

#include <LibCore/Identifiers.h>
#include <LibPlacement/BlockHash.h>
#include <LibPlacement/LookupNumber.h>

#include <vector>

namespace lycheeseam {

/// Asks a prefix's owner where the blocks of a prompt are cached.
struct block_lookup
{
  lookup_number mNumber;
  pool_name mPool;
  std::vector<block_hash> mBlocks;

  bool operator==(block_lookup const&) const = default;
};

}
