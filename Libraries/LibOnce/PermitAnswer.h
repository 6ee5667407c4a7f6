#pragma once

#include <LibCore/Identifiers.h>
#include <LibOnce/PermitDecision.h>

#include <cstddef>

namespace lycheeseam {

/// The answer to a run ask.
struct permit_answer
{
  request_id mRequest;
  permit_decision mPermission = permit_decision::Wait;
  /// The crashes that the home counted against the fingerprint.
  std::size_t mCrashes = 0;

  bool operator==(permit_answer const&) const = default;
};

}
