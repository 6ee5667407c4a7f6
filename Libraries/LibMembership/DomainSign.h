#pragma once

#include <LibMembership/DomainCode.h>

#include <chrono>

namespace lycheeseam {

/// How long ago an instance, or a peer that it heard, had a sign of life from
/// a failure domain.
struct domain_sign
{
  domain_code mDomain;
  std::chrono::milliseconds mAge{ 0 };

  bool operator==(domain_sign const&) const = default;
};

}
