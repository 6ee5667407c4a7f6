#include <LibFleet/RelayTargets.h>

#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <string>

namespace lycheeseam {

namespace {

// Rendezvous hashing: origins of relays choose different roots, and only the
// choices of a root that fails change.
std::uint64_t
Rank(instance_id const& aFrom, instance_id const& aTo)
{
  std::string const& from = aFrom.Text();
  std::string const& to = aTo.Text();
  return XXH3_64bits_withSeed(
    to.data(), to.size(), XXH3_64bits(from.data(), from.size()));
}

}

bool
relay_targets::IsHome(peer_link const& aLink) const
{
  return aLink.mHello.mFailureDomain == mSelf.mFailureDomain;
}

std::vector<instance_id>
relay_targets::OfBranch(instant aNow, std::span<instance_id const> aRoots) const
{
  instance_id const& self = mSelf.mIdentity.mInstance;
  std::vector<instance_id> targets;
  std::map<failure_domain, instance_id> chosen;
  for (instance_id const& root : aRoots) {
    peer_link const& link = mLinks.at(root);
    if (IsHome(link) || !link.mReport.mSpreadsRelays) {
      targets.push_back(root);
      continue;
    }
    // A root that has stopped reporting may have stopped passing records on.
    // The others of its domain get none while none of them reports, and lag
    // until one does or they read the store.
    if (!link.IsLive(aNow))
      continue;
    auto const [entry, isFirst] =
      chosen.try_emplace(link.mHello.mFailureDomain, root);
    if (!isFirst && Rank(self, root) > Rank(self, entry->second))
      entry->second = root;
  }
  for (auto const& [domain, root] : chosen)
    targets.push_back(root);
  return targets;
}

std::vector<instance_id>
relay_targets::OfRoot(instance_id const& aFrom,
                      std::span<instance_id const> aRoots) const
{
  std::vector<instance_id> targets;
  auto const from = mLinks.find(aFrom);
  // A root of an older build has sent the records to all roots.
  if (from == mLinks.end() || IsHome(from->second) ||
      !from->second.mReport.mSpreadsRelays)
    return targets;
  std::copy_if(aRoots.begin(),
               aRoots.end(),
               std::back_inserter(targets),
               [this](instance_id const& aRoot) {
                 peer_link const& link = mLinks.at(aRoot);
                 return IsHome(link) && link.mReport.mSpreadsRelays;
               });
  return targets;
}

bool
relay_targets::IsSource(instant aNow, instance_id const& aPeer) const
{
  auto const found = mLinks.find(aPeer);
  if (found == mLinks.end())
    return false;
  peer_link const& peer = found->second;
  if (peer.mReport.mScope != report_scope::Root)
    return peer.IsChild();
  instance_id const& self = mSelf.mIdentity.mInstance;
  failure_domain const& domain = peer.mHello.mFailureDomain;
  bool const isSelfHome = IsHome(peer);
  std::uint64_t const ownRank = Rank(aPeer, self);
  return std::none_of(mLinks.begin(), mLinks.end(), [&](auto const& aEntry) {
    peer_link const& other = aEntry.second;
    bool const hasMore = other.IsLive(aNow) &&
                         other.mReport.mScope == report_scope::Root &&
                         other.mReport.mServersEnd > peer.mReport.mServersEnd;
    bool const isHome = other.mHello.mFailureDomain == domain;
    if (!hasMore || aEntry.first == aPeer || (isSelfHome && !isHome))
      return false;
    return isHome != isSelfHome || Rank(aPeer, aEntry.first) > ownRank;
  });
}

}
