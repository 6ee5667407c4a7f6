#pragma once

#include <LibCore/Endpoint.h>
#include <LibCore/Identifiers.h>

namespace lycheeseam {

/// An instance that takes callers.
struct caller_entry
{
  instance_id mInstance;
  failure_domain mDomain;
  endpoint mAddress;

  bool operator==(caller_entry const&) const = default;
};

}
