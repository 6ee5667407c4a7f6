#pragma once

#include <LibMembership/DomainCode.h>

#include <chrono>

namespace lycheeseam {

/// The age of an instance's last observation of a failure domain, its own or
/// one that a peer reported.
struct domain_observation
{
  domain_code mDomain;
  std::chrono::milliseconds mAge{ 0 };

  bool operator==(domain_observation const&) const = default;
};

}
