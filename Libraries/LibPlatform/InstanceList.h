#pragma once

#include <LibPlatform/ListedInstance.h>

#include <vector>

namespace lycheeseam {

/// The platform's list of instances, which may lag behind the present.
struct instance_list
{
  std::vector<listed_instance> mInstances;

  bool operator==(instance_list const&) const = default;
};

}
