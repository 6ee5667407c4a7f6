#pragma once

#include <LibCore/Endpoint.h>
#include <LibCore/Identifiers.h>

namespace lycheeseam {

/// The address of an instance to which a caller may send requests.
struct caller_address
{
  instance_id mInstance;
  endpoint mAddress;
  failure_domain mFailureDomain;

  bool operator==(caller_address const&) const = default;
};

}
