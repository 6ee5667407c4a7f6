#pragma once

#include <string_view>

namespace lycheeseam {

/// Why a policy chose a backend server.
enum class placement_reason
{
  RoundRobin,
  LeastLoaded,
  /// The server ranks highest for the prefix by rendezvous hashing.
  HashOwner,
  /// The highest-ranked server is ineligible or above the load bound; this
  /// is the next one.
  HashNext,
  /// The server likely has the prefix cached.
  CachedPrefix,
  /// Importing the KV store's pieces is cheaper than computing them again.
  StoredPieces,
  /// The server is expected to compute the uncached prompt fastest.
  Recompute,
};

/// The reason's name in traces and logs, such as "cached_prefix".
std::string_view
PlacementReasonName(placement_reason aReason);

}
