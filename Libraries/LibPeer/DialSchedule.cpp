#include <LibPeer/DialSchedule.h>

#include <algorithm>

namespace lycheeseam {

dial_schedule::dial_schedule(dial_options aOptions, std::uint32_t aSeed)
  : mOptions(aOptions)
  , mRandom(aSeed)
{
}

void
dial_schedule::SetPeers(std::span<peer_contact const> aContacts)
{
  std::map<endpoint, target> kept;
  for (peer_contact const& contact : aContacts) {
    auto const known = mTargets.find(contact.mAddress);
    target entry = known == mTargets.end() ? target{} : known->second;
    entry.mContact = contact;
    kept.insert_or_assign(contact.mAddress, entry);
  }
  mTargets = std::move(kept);
}

std::vector<peer_contact>
dial_schedule::TakeDue(instant aNow)
{
  std::vector<peer_contact> due;
  for (auto& [address, entry] : mTargets) {
    if (entry.mIsActive || aNow < entry.mNotBefore)
      continue;
    entry.mIsActive = true;
    due.push_back(entry.mContact);
  }
  return due;
}

void
dial_schedule::OnUp(endpoint const& aAddress)
{
  auto const found = mTargets.find(aAddress);
  if (found != mTargets.end())
    found->second.mBackoff = duration::zero();
}

void
dial_schedule::OnClosed(endpoint const& aAddress, instant aNow)
{
  auto const found = mTargets.find(aAddress);
  if (found == mTargets.end())
    return;
  target& entry = found->second;
  entry.mIsActive = false;
  entry.mBackoff =
    std::clamp(2 * entry.mBackoff, mOptions.mMinBackoff, mOptions.mMaxBackoff);
  std::uniform_int_distribution<duration::rep> jitter{
    entry.mBackoff.count() / 2, entry.mBackoff.count()
  };
  entry.mNotBefore = aNow + duration{ jitter(mRandom) };
}

}
