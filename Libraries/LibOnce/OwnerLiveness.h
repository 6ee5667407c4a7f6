#pragma once

#include <LibCore/InstanceIdentity.h>

#include <concepts>

namespace lycheeseam {

/// Whether an incarnation of an instance may still be running. A wrong answer
/// only changes the refusal that a repeat gets; it never runs a request again.
template<typename Liveness>
concept owner_liveness = requires(Liveness const& aLiveness,
                                  instance_identity const& aIdentity)
{
  {
    aLiveness(aIdentity)
    } -> std::convertible_to<bool>;
};

}
