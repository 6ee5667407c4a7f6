#pragma once

#include <LibCore/Identifiers.h>

namespace lycheeseam {

/// The body of the platform's answer to an append.
struct append_reply
{
  log_offset mOffset;
};

}
