#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/InstanceIdentity.h>
#include <LibPeer/HelloDecision.h>
#include <LibPeer/LinkDirection.h>
#include <LibPeer/LinkNumber.h>
#include <LibPeer/PeerHello.h>

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace lycheeseam {

/// Decides which link carries each peer's messages: one for each instance, to
/// the incarnation that runs. The processes of an instance run one after the
/// other, so of two incarnations the one whose link opened later is the later
/// one. Their numbers come from the time of day, which may jump, and don't
/// tell.
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
  /// A peer with a link.
  struct peer_state
  {
    incarnation mCurrent;
    link_number mLink;
    link_direction mDirection = link_direction::Dialled;
    /// The incarnations that others have replaced since the peer first had a
    /// link without a break.
    std::set<incarnation> mFormer;
  };

  // True when the hello is from a process that has ended: it took so long that
  // a later process has a link already.
  static bool IsOfFormer(peer_state const& aState,
                         link_number aLink,
                         incarnation aIncarnation);
  [[nodiscard]] bool IsReplaced(peer_state const& aState,
                                link_direction aDirection,
                                instance_id const& aPeer) const;

  instance_identity mSelf;
  std::map<instance_id, peer_state> mPeers;
};

}
