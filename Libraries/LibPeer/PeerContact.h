#pragma once

#include <LibCore/Endpoint.h>
#include <LibCore/Identifiers.h>

namespace lycheeseam {

/// A peer to keep a link to.
struct peer_contact
{
  endpoint mAddress;
  /// Empty for a peer to start from, which is known by its address alone.
  instance_id mInstance;

  bool operator==(peer_contact const&) const = default;
};

}
