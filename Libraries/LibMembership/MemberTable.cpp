#include <LibMembership/MemberTable.h>

#include <utility>

namespace lycheeseam {

member_table::member_table(member aSelf, member_table_options aOptions)
  : mSelf(aSelf.mIdentity.mInstance)
  , mOptions(aOptions)
{
  mEntries.emplace(mSelf, entry{ .mMember = std::move(aSelf) });
}

void
member_table::SetList(std::span<member const> aListed, instant aNow)
{
  for (auto& [name, known] : mEntries)
    known.mIsListed = false;
  for (member const& listed : aListed) {
    UpdateFromList(listed, aNow);
    mEntries.at(listed.mIdentity.mInstance).mIsListed = true;
  }
  DropUnlisted(aNow);
}

void
member_table::OnPeerUp(member const& aPeer, instant aNow)
{
  entry& known =
    mEntries.try_emplace(aPeer.mIdentity.mInstance, entry{ .mMember = aPeer })
      .first->second;
  if (known.mMember.mIdentity != aPeer.mIdentity)
    Replace(known, aPeer, aNow);
  known.mIsLinked = true;
  known.mLinkClosedAt.reset();
}

void
member_table::OnPeerDown(instance_identity const& aPeer, instant aNow)
{
  entry* const known = FindIdentity(aPeer);
  if (!known)
    return;
  known->mIsLinked = false;
  known->mLinkClosedAt = aNow;
}

void
member_table::OnLeaving(instance_identity const& aPeer)
{
  entry* const known = FindIdentity(aPeer);
  if (known)
    known->mMember.mState = member_state::Leaving;
}

void
member_table::OnSelfLeaving()
{
  mEntries.at(mSelf).mMember.mState = member_state::Leaving;
}

std::vector<member>
member_table::Members() const
{
  std::vector<member> members;
  for (auto const& [name, known] : mEntries)
    members.push_back(known.mMember);
  return members;
}

std::vector<member>
member_table::Usable() const
{
  std::vector<member> usable;
  for (auto const& [name, known] : mEntries) {
    bool const isLinkClosed = known.mLinkClosedAt.has_value();
    if (known.mMember.mState == member_state::Live && !isLinkClosed)
      usable.push_back(known.mMember);
  }
  return usable;
}

bool
member_table::MayRun(instance_identity const& aIdentity) const
{
  auto const found = mEntries.find(aIdentity.mInstance);
  if (found == mEntries.end())
    return false;
  entry const& known = found->second;
  if (known.mMember.mIdentity == aIdentity)
    return true;
  return !known.mIsLinked && !known.mHistory.HasEnded(aIdentity.mIncarnation);
}

std::optional<instance_identity>
member_table::IdentityOf(instance_id const& aInstance) const
{
  auto const found = mEntries.find(aInstance);
  if (found == mEntries.end())
    return std::nullopt;
  return found->second.mMember.mIdentity;
}

member_table::entry*
member_table::FindIdentity(instance_identity const& aIdentity)
{
  auto const found = mEntries.find(aIdentity.mInstance);
  if (found == mEntries.end() || found->second.mMember.mIdentity != aIdentity)
    return nullptr;
  return &found->second;
}

// For the same incarnation only leaving is taken over, which is final; a list
// that doesn't show it yet lags.
void
member_table::UpdateFromList(member const& aListed, instant aNow)
{
  instance_id const& name = aListed.mIdentity.mInstance;
  auto const [found, isNew] =
    mEntries.try_emplace(name, entry{ .mMember = aListed });
  if (isNew || name == mSelf)
    return;
  entry& known = found->second;
  if (aListed.mIdentity == known.mMember.mIdentity) {
    if (aListed.mState == member_state::Leaving)
      known.mMember.mState = member_state::Leaving;
    return;
  }
  bool const isOutdated =
    known.mIsLinked ||
    known.mHistory.MayBeLate(aNow, aListed.mIdentity.mIncarnation);
  if (!isOutdated)
    Replace(known, aListed, aNow);
}

void
member_table::Replace(entry& aEntry, member const& aMember, instant aNow)
{
  aEntry.mHistory.OnReplaced(aNow, aEntry.mMember.mIdentity.mIncarnation);
  aEntry.mMember = aMember;
  aEntry.mIsLinked = false;
  aEntry.mLinkClosedAt.reset();
}

void
member_table::DropUnlisted(instant aNow)
{
  std::erase_if(mEntries, [&](auto const& aEntry) {
    entry const& known = aEntry.second;
    if (known.mIsListed || known.mIsLinked || aEntry.first == mSelf)
      return false;
    return !known.mLinkClosedAt ||
           aNow - *known.mLinkClosedAt >= mOptions.mUnlistedGrace;
  });
}

}
