#pragma once

#include <LibCore/Endpoint.h>
#include <LibCore/Identifiers.h>

namespace lycheeseam {

/// An instance that is ready for callers, with the address that callers use.
struct ready_instance
{
  instance_id mInstance;
  failure_domain mDomain;
  endpoint mAddress;

  bool operator==(ready_instance const&) const = default;
};

}
