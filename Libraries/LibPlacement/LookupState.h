#pragma once

namespace lycheeseam {

/// Whether the block_lookup of a request was answered in time.
enum class lookup_state
{
  /// The shard answered; what it doesn't name isn't cached.
  Answered,
  /// No answer before the deadline: hashing decides.
  Missing,
};

}
