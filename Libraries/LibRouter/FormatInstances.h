#pragma once

#include <LibCore/Identifiers.h>
#include <LibMembership/Member.h>

#include <chrono>
#include <span>
#include <string>

namespace lycheeseam {

/// Formats the answer to /v1/instances as JSON: the addresses that callers may
/// use, those of this instance's failure domain first, and how long to cache
/// them.
std::string
FormatInstances(std::span<member const> aUsable,
                failure_domain const& aDomain,
                std::chrono::milliseconds aTimeToLive);

}
