#pragma once

#include <LibCore/Endpoint.h>
#include <LibCore/Identifiers.h>

namespace lycheeseam {

/// An address that a caller may use.
struct caller_address
{
  instance_id mInstance;
  endpoint mAddress;
  failure_domain mFailureDomain;

  bool operator==(caller_address const&) const = default;
};

}
