#include <LibPeer/LinkTable.h>

#include <utility>

namespace lycheeseam {

namespace {

hello_decision
Refuse(link_close_reason aReason)
{
  return { .mRefused = aReason };
}

}

link_table::link_table(instance_identity aSelf)
  : mSelf(std::move(aSelf))
{
}

hello_decision
link_table::OnHello(link_number aLink,
                    link_direction aDirection,
                    peer_hello const& aHello)
{
  if (aHello.mVersion != kPeerProtocolVersion)
    return Refuse(link_close_reason::WrongVersion);
  instance_id const& peer = aHello.mIdentity.mInstance;
  if (peer == mSelf.mInstance)
    return Refuse(link_close_reason::Self);
  peer_state& state = mPeers[peer];
  if (aHello.mIdentity.mIncarnation < state.mNewest)
    return Refuse(link_close_reason::OlderIncarnation);

  hello_decision decision;
  if (state.mLink && aHello.mIdentity.mIncarnation == state.mNewest) {
    if (!IsReplaced(state, aDirection, peer))
      return Refuse(link_close_reason::Duplicate);
  } else {
    decision.mIsNew = true;
    if (state.mLink)
      decision.mEnded =
        instance_identity{ .mInstance = peer, .mIncarnation = state.mNewest };
  }
  decision.mReplaced = state.mLink;
  state = { .mNewest = aHello.mIdentity.mIncarnation,
            .mLink = aLink,
            .mDirection = aDirection };
  return decision;
}

std::optional<instance_identity>
link_table::OnClosed(link_number aLink)
{
  for (auto& [peer, state] : mPeers) {
    if (state.mLink != aLink)
      continue;
    state.mLink.reset();
    return instance_identity{ .mInstance = peer,
                              .mIncarnation = state.mNewest };
  }
  return std::nullopt;
}

std::optional<link_number>
link_table::Find(instance_id const& aPeer) const
{
  auto const found = mPeers.find(aPeer);
  if (found == mPeers.end())
    return std::nullopt;
  return found->second.mLink;
}

std::vector<link_number>
link_table::Links() const
{
  std::vector<link_number> links;
  for (auto const& [peer, state] : mPeers) {
    if (state.mLink)
      links.push_back(*state.mLink);
  }
  return links;
}

// When both ends dial at once, both must keep the same link: the one that the
// instance with the lesser name dialled. A second link in the same direction
// means that the end which dialled has given up the first one.
bool
link_table::IsReplaced(peer_state const& aState,
                       link_direction aDirection,
                       instance_id const& aPeer) const
{
  if (aState.mDirection == aDirection)
    return true;
  bool const isLesser = mSelf.mInstance < aPeer;
  link_direction const kept =
    isLesser ? link_direction::Dialled : link_direction::Accepted;
  return aDirection == kept;
}

}
