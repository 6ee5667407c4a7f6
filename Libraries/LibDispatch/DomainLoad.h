#pragma once

#include <LibCore/Identifiers.h>

namespace lycheeseam {

/// The capacity of a pool's servers in one failure domain and its use, in slots
/// at usual speed.
struct domain_load
{
  failure_domain mDomain;
  double mCapacity = 0;
  double mUsed = 0;
};

}
