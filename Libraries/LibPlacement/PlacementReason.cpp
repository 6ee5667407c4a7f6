#include <LibCore/Verify.h>
#include <LibPlacement/PlacementReason.h>

namespace lycheeseam {

std::string_view
PlacementReasonName(placement_reason aReason)
{
  switch (aReason) {
    case placement_reason::RoundRobin:
      return "turn";
    case placement_reason::LeastLoaded:
      return "least_loaded";
    case placement_reason::HashOwner:
      return "hash_owner";
    case placement_reason::HashNext:
      return "hash_next";
    case placement_reason::CachedPrefix:
      return "cached_prefix";
    case placement_reason::StoredPieces:
      return "stored_pieces";
    case placement_reason::Recompute:
      return "recompute";
  }
  VERIFY(false);
  return "";
}

}
