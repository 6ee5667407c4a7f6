#pragma once

#include <LibMembership/CallerAddress.h>
#include <LibMembership/CallerAddressOptions.h>
#include <LibMembership/Member.h>

#include <cstdint>
#include <span>
#include <vector>

namespace lycheeseam {

/// The addresses for one caller, in the order in which to try them: those in
/// its own failure domain first. aUsable holds no leaving instance; equal
/// seeds give equal orders, and callers over many seeds are spread evenly.
std::vector<caller_address>
ChooseCallerAddresses(std::span<member const> aUsable,
                      failure_domain const& aCallersDomain,
                      std::uint64_t aSeed,
                      caller_address_options const& aOptions);

}
