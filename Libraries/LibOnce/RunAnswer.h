#pragma once

#include <LibCore/Identifiers.h>
#include <LibOnce/RunPermission.h>

#include <cstddef>

namespace lycheeseam {

/// The answer to a run ask.
struct run_answer
{
  request_id mRequest;
  run_permission mPermission = run_permission::Wait;
  /// The crashes that the home counted against the fingerprint.
  std::size_t mCrashes = 0;

  bool operator==(run_answer const&) const = default;
};

}
