#pragma once

#include <LibMembership/CallerAddress.h>
#include <LibMembership/CallerAddressOptions.h>
#include <LibMembership/Member.h>

#include <cstdint>
#include <span>
#include <vector>

namespace lycheeseam {

/// Chooses the addresses for one caller, in the order in which to try them:
/// those in its own failure domain first. aUsable contains no leaving instance.
/// Equal seeds give equal orders; different seeds spread callers evenly.
std::vector<caller_address>
ChooseCallerAddresses(std::span<member const> aUsable,
                      failure_domain const& aCallersDomain,
                      std::uint64_t aSeed,
                      caller_address_options const& aOptions);

}
