#pragma once

#include <string_view>

namespace lycheeseam {

/// Why a policy chose a backend server.
enum class placement_reason
{
  Turn,
  LeastLoaded,
  /// The server that hashing gives the prefix.
  HashOwner,
  /// Hashing's first choice is over its bound; the next one is taken.
  HashNext,
  /// The prefix is known to be cached there.
  CachedPrefix,
  /// The KV store's pieces are cheaper than computing anew.
  StoredPieces,
  /// Computing anew is expected to be fastest there.
  Recompute,
};

/// The reason as traces and logs show it, such as "cached_prefix".
std::string_view
PlacementReasonName(placement_reason aReason);

}
