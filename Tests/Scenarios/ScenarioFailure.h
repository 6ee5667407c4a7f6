#pragma once

#include <LibCore/Error.h>

namespace lycheeseam {

/// A scenario can't go on: a process didn't start, a name is unknown.
class scenario_failure : public error
{
public:
  using error::error;
};

}
