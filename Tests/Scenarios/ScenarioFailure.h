#pragma once

#include <LibCore/Error.h>

namespace lycheeseam {

/// An error that ends a scenario, such as a process that didn't start or an
/// unknown name.
class scenario_failure : public error
{
public:
  using error::error;
};

}
