#pragma once

#include <LibFleet/PeerLink.h>

#include <map>
#include <optional>
#include <span>
#include <vector>

namespace lycheeseam {

/// Chooses the roots that a root sends records of the store to, so that they
/// cross the border between two failure domains once. Runs on the control
/// thread.
class relay_targets
{
public:
  using links = std::map<instance_id, peer_link>;

  relay_targets(peer_hello const& aSelf, links const& aLinks)
    : mSelf(aSelf)
    , mLinks(aLinks)
  {
  }

  /// Those of aRoots that get records of this instance's branch: the roots of
  /// its own domain, and one of each other domain. Roots of older builds don't
  /// pass records on to other roots and get their own copies.
  [[nodiscard]] std::vector<instance_id> OfBranch(
    instant aNow,
    std::span<instance_id const> aRoots) const;

  /// Those of aRoots that get records which the root aFrom has sent: the roots
  /// of this domain when aFrom is one of another.
  [[nodiscard]] std::vector<instance_id> OfRoot(
    instance_id const& aFrom,
    std::span<instance_id const> aRoots) const;

  /// True when this instance, of those linked here that have more records of
  /// servers than aPeer, is the one to send it what it lacks: always for a
  /// child, else one of the roots, of the peer's own domain if there is one.
  [[nodiscard]] bool IsSource(instant aNow, instance_id const& aPeer) const;

private:
  [[nodiscard]] bool IsHome(peer_link const& aLink) const;

  peer_hello const& mSelf;
  links const& mLinks;
};

}
