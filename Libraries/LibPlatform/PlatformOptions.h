#pragma once

#include <LibCore/Endpoint.h>

#include <chrono>

namespace lycheeseam {

/// The address of the platform and the time limit of a call. A read that waits
/// for records adds its wait to the limit.
struct platform_options
{
  endpoint mAddress;
  std::chrono::milliseconds mCallTimeout{ 2000 };
};

}
