#pragma once

#include <LibCore/Identifiers.h>
#include <LibOnce/PermitDecision.h>

#include <cstddef>

namespace lycheeseam {

/// The fingerprint owner's answer to a permit_request.
struct permit_answer
{
  request_id mRequest;
  permit_decision mDecision = permit_decision::Wait;
  /// The crashes that the owner counts against the fingerprint.
  std::size_t mCrashes = 0;

  bool operator==(permit_answer const&) const = default;
};

}
