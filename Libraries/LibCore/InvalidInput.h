#pragma once

#include <LibCore/Error.h>

namespace lycheeseam {

/// Input from outside breaks a rule; the message says which one.
class invalid_input : public error
{
public:
  using error::error;
};

}
