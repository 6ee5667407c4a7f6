#include <LibPeer/LinkTable.h>

#include <algorithm>
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
  incarnation const current = aHello.mIdentity.mIncarnation;
  auto const [found, isFirst] = mPeers.try_emplace(
    peer,
    peer_state{
      .mCurrent = current, .mLink = aLink, .mDirection = aDirection });
  if (isFirst)
    return { .mIsNew = true };
  peer_state& state = found->second;
  hello_decision decision{ .mReplaced = state.mLink };
  if (current == state.mCurrent) {
    if (!IsReplaced(state, aDirection, peer))
      return Refuse(link_close_reason::Duplicate);
  } else {
    if (IsOfFormer(state, aLink, current))
      return Refuse(link_close_reason::OlderIncarnation);
    decision.mEnded =
      instance_identity{ .mInstance = peer, .mIncarnation = state.mCurrent };
    decision.mIsNew = true;
    state.mFormer.insert(state.mCurrent);
  }
  state.mCurrent = current;
  state.mLink = aLink;
  state.mDirection = aDirection;
  return decision;
}

std::optional<instance_identity>
link_table::OnClosed(link_number aLink)
{
  auto const found =
    std::find_if(mPeers.begin(), mPeers.end(), [aLink](auto const& aPeer) {
      return aPeer.second.mLink == aLink;
    });
  if (found == mPeers.end())
    return std::nullopt;
  instance_identity const ended{ .mInstance = found->first,
                                 .mIncarnation = found->second.mCurrent };
  mPeers.erase(found);
  return ended;
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
  links.reserve(mPeers.size());
  for (auto const& [peer, state] : mPeers)
    links.push_back(state.mLink);
  return links;
}

bool
link_table::IsOfFormer(peer_state const& aState,
                       link_number aLink,
                       incarnation aIncarnation)
{
  return aLink < aState.mLink || aState.mFormer.contains(aIncarnation);
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
