#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/InstanceIdentity.h>
#include <LibPeer/HelloDecision.h>
#include <LibPeer/LinkDirection.h>
#include <LibPeer/LinkNumber.h>
#include <LibPeer/PeerHello.h>

#include <map>
#include <optional>
#include <vector>

namespace lycheeseam {

/// Decides which link carries each peer's messages: one for each instance,
/// to its newest incarnation.
class link_table
{
public:
  explicit link_table(instance_identity aSelf);

  /// A link's hello arrived.
  hello_decision OnHello(link_number aLink,
                         link_direction aDirection,
                         peer_hello const& aHello);

  /// A link closed; returns the identity that has no link any more, if any.
  std::optional<instance_identity> OnClosed(link_number aLink);

  /// The link to an instance, if one is up.
  [[nodiscard]] std::optional<link_number> Find(instance_id const& aPeer) const;

  /// All links that are up, ordered by instance.
  [[nodiscard]] std::vector<link_number> Links() const;

private:
  struct peer_state
  {
    incarnation mNewest;
    std::optional<link_number> mLink;
    link_direction mDirection = link_direction::Dialled;
  };

  [[nodiscard]] bool IsReplaced(peer_state const& aState,
                                link_direction aDirection,
                                instance_id const& aPeer) const;

  instance_identity mSelf;
  // FIXME: An instance that never comes back is never removed. Its name and
  // incarnation are kept to recognise a late hello of an older incarnation.
  std::map<instance_id, peer_state> mPeers;
};

}
