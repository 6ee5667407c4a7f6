#pragma once

#include <LibMembership/DomainCode.h>

#include <chrono>

namespace lycheeseam {

/// How long ago an instance of a failure domain was last known to be running,
/// as the instance that reports it observed or learnt from its own peers.
struct domain_observation
{
  domain_code mDomain;
  std::chrono::milliseconds mAge{ 0 };

  bool operator==(domain_observation const&) const = default;
};

}
