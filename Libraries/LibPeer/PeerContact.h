#pragma once

#include <LibCore/Endpoint.h>
#include <LibCore/Identifiers.h>

namespace lycheeseam {

/// A peer to keep a link to.
struct peer_contact
{
  endpoint mAddress;
  /// Empty for a bootstrap peer, of which only the address is known.
  instance_id mInstance;

  bool operator==(peer_contact const&) const = default;
};

}
