#pragma once

#include <LibPlacement/KnownPrefix.h>
#include <LibPlacement/LookupNumber.h>

#include <vector>

namespace lycheeseam {

/// The prefix owner's answer to a block_lookup. Servers with the longest cached
/// prefix come first.
struct block_answer
{
  lookup_number mNumber;
  std::vector<known_prefix> mKnown;
  /// The number of tokens, from the prompt's start on, in the KV store.
  token_count mStoredTokens = 0;

  bool operator==(block_answer const&) const = default;
};

}
