#pragma once

#include <LibCore/InstanceLife.h>
#include <LibRecords/ClaimNumber.h>

namespace lycheeseam {

/// One claim of one life of an instance.
struct claim_identity
{
  instance_life mOwner;
  claim_number mNumber;

  auto operator<=>(claim_identity const&) const = default;
};

}
