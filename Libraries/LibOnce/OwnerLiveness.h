#pragma once

#include <LibCore/InstanceIdentity.h>

#include <concepts>

namespace lycheeseam {

/// Tells whether one life of an instance may still be running. A wrong answer
/// only changes what a repeat is told: nothing is run again on its strength.
template<typename Liveness>
concept owner_liveness = requires(Liveness const& aLiveness,
                                  instance_identity const& aIdentity)
{
  {
    aLiveness(aIdentity)
    } -> std::convertible_to<bool>;
};

}
