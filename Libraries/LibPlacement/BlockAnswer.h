#pragma once

#include <LibPlacement/KnownPrefix.h>
#include <LibPlacement/LookupNumber.h>

#include <vector>

namespace lycheeseam {

/// The owner's answer to a block_lookup: the longest holders first.
struct block_answer
{
  lookup_number mNumber;
  std::vector<known_prefix> mKnown;
  /// Tokens from the prompt's start on that the KV store holds.
  token_count mStoredTokens = 0;

  bool operator==(block_answer const&) const = default;
};

}
