#pragma once

#include <LibCore/Ordinal.h>

namespace lycheeseam {

/// One waiting request of this instance; its owner hands the numbers out.
using ticket = ordinal<struct ticket_tag>;

}
