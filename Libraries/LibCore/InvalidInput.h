#pragma once

#include <LibCore/Error.h>

namespace lycheeseam {

/// External input is invalid; the message names the rule that it breaks.
class invalid_input : public error
{
public:
  using error::error;
};

}
