#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Ordinal.h>

namespace lycheeseam {

/// A hash of a failure domain's name, the same on each instance. 32 bits
/// suffice, as a fleet has some dozen failure domains.
using domain_code = ordinal<struct domain_code_tag>;

domain_code
DomainCode(failure_domain const& aDomain);

}
