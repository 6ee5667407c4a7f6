#pragma once

#include <LibMembership/Member.h>

#include <cstddef>
#include <string>
#include <vector>

namespace lycheeseam {

/// Instances i0, i1, ... distributed over failure domains d0, d1, ... in turn.
inline std::vector<member>
MakeMembers(std::size_t aCount, std::size_t aDomains)
{
  std::vector<member> members;
  for (std::size_t i = 0; i < aCount; ++i)
    members.push_back(
      { .mIdentity = { .mInstance = instance_id{ "i" + std::to_string(i) },
                       .mIncarnation = incarnation{ 1 } },
        .mFailureDomain =
          failure_domain{ "d" + std::to_string(i % aDomains) } });
  return members;
}

}
