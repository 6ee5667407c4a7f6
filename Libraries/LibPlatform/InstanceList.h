#pragma once

#include <LibPlatform/ListedInstance.h>

#include <vector>

namespace lycheeseam {

/// The platform's list as it was some time ago.
struct instance_list
{
  std::vector<listed_instance> mInstances;

  bool operator==(instance_list const&) const = default;
};

}
