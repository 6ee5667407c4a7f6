#pragma once

namespace lycheeseam {

/// Whether a request's block knowledge was to be had in time.
enum class knowledge_state
{
  /// The shard answered; what it doesn't name isn't cached.
  Answered,
  /// No answer before the deadline: hashing decides.
  Missing,
};

}
