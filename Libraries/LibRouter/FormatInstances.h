#pragma once

#include <LibCore/Identifiers.h>
#include <LibMembership/Member.h>

#include <chrono>
#include <span>
#include <string>

namespace lycheeseam {

/// The answer to /v1/instances: the addresses to use, those of the instance's
/// own failure domain first, and how long to keep them.
std::string
FormatInstances(std::span<member const> aUsable,
                failure_domain const& aDomain,
                std::chrono::milliseconds aTimeToLive);

}
