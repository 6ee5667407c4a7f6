#pragma once

#include <LibCore/InstanceIdentity.h>
#include <LibRecords/ClaimNumber.h>

namespace lycheeseam {

/// Identifies a claim by its owner's identity and its number.
struct claim_identity
{
  instance_identity mOwner;
  claim_number mNumber;

  auto operator<=>(claim_identity const&) const = default;
};

}
