#pragma once

#include <LibCore/InstanceIdentity.h>
#include <LibRecords/ClaimNumber.h>

namespace lycheeseam {

/// One claim of one life of an instance.
struct claim_identity
{
  instance_identity mOwner;
  claim_number mNumber;

  auto operator<=>(claim_identity const&) const = default;
};

}
