#pragma once

#include <LibMembership/DomainCode.h>

#include <chrono>

namespace lycheeseam {

/// How long ago an instance of a failure domain was last known to be running,
/// by this instance's own observation or by a peer's report.
struct domain_observation
{
  domain_code mDomain;
  std::chrono::milliseconds mAge{ 0 };

  bool operator==(domain_observation const&) const = default;
};

}
