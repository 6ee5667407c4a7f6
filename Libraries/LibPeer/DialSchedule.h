#pragma once

#include <LibCore/Instant.h>
#include <LibPeer/DialOptions.h>
#include <LibPeer/PeerContact.h>

#include <cstdint>
#include <map>
#include <random>
#include <span>
#include <vector>

namespace lycheeseam {

/// Decides when a peer is dialled again: after a pause that doubles with each
/// failure, with jitter, so that a herd doesn't return as one.
class dial_schedule
{
public:
  dial_schedule(dial_options aOptions, std::uint32_t aSeed);

  /// Replaces the peers to reach; those that stay keep their pauses.
  void SetWanted(std::span<peer_contact const> aContacts);

  /// The peers to dial now; each counts as under way until OnClosed.
  [[nodiscard]] std::vector<peer_contact> TakeDue(instant aNow);

  /// The link is up: the next failure starts from the shortest pause.
  void OnUp(endpoint const& aAddress);

  /// The attempt failed or the link ended.
  void OnClosed(endpoint const& aAddress, instant aNow);

private:
  struct target
  {
    peer_contact mContact;
    bool mIsUnderWay = false;
    duration mBackoff{};
    instant mNotBefore{};
  };

  dial_options mOptions;
  std::mt19937 mRandom;
  std::map<endpoint, target> mTargets;
};

}
