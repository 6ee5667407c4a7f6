#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Ordinal.h>

namespace lycheeseam {

/// A short number for a failure domain's name, the same on each instance. It
/// has 32 bits; a fleet has some dozen failure domains.
using domain_code = ordinal<struct domain_code_tag>;

/// The number of a failure domain.
domain_code
DomainCode(failure_domain const& aDomain);

}
