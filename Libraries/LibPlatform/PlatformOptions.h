#pragma once

#include <LibCore/Endpoint.h>

#include <chrono>

namespace lycheeseam {

/// Where the platform is and how long its answers may take.
struct platform_options
{
  endpoint mAddress;
  std::chrono::milliseconds mCallTimeout{ 2000 };
};

}
