#pragma once

#include <LibCore/InstanceIdentity.h>

#include <concepts>

namespace lycheeseam {

/// Whether an incarnation of an instance may still be running. A repeat waits
/// for the outcome of a running owner, and is refused at once when the owner
/// has ended without one. A wrong answer only changes whether and when a repeat
/// is refused; it never runs a request again.
template<typename Liveness>
concept owner_liveness = requires(Liveness const& aLiveness,
                                  instance_identity const& aIdentity)
{
  {
    aLiveness(aIdentity)
    } -> std::convertible_to<bool>;
};

}
