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

/// Decides when each peer is dialled again: after a backoff that doubles with
/// each failure, with jitter against a thundering herd.
class dial_schedule
{
public:
  dial_schedule(dial_options aOptions, std::uint32_t aSeed);

  /// Replaces the peers to dial; those that stay keep their backoff.
  void SetPeers(std::span<peer_contact const> aContacts);

  /// The peers to dial now; each is active, so not due again, until OnClosed.
  [[nodiscard]] std::vector<peer_contact> TakeDue(instant aNow);

  /// The link is up: the next failure starts from the shortest backoff.
  void OnUp(endpoint const& aAddress);

  /// The attempt failed or the link closed.
  void OnClosed(endpoint const& aAddress, instant aNow);

private:
  struct target
  {
    peer_contact mContact;
    bool mIsActive = false;
    duration mBackoff{};
    instant mNotBefore{};
  };

  dial_options mOptions;
  std::mt19937 mRandom;
  std::map<endpoint, target> mTargets;
};

}
