#pragma once

#include <LibCore/Ordinal.h>

namespace lycheeseam {

/// Number of a waiting request, unique within this instance; the queue's owner
/// assigns it.
using ticket = ordinal<struct ticket_tag>;

}
