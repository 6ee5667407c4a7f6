#include <LibMembership/CallerAddresses.h>

#include <algorithm>
#include <random>

namespace lycheeseam {

namespace {

void
AddAddresses(std::span<member const> aMembers,
             std::size_t aCount,
             std::vector<caller_address>& aAddresses)
{
  for (member const& chosen : aMembers.first(aCount))
    aAddresses.push_back({ .mInstance = chosen.mIdentity.mInstance,
                           .mAddress = chosen.mCallers,
                           .mFailureDomain = chosen.mFailureDomain });
}

}

std::vector<caller_address>
ChooseCallerAddresses(std::span<member const> aUsable,
                      failure_domain const& aCallersDomain,
                      std::uint64_t aSeed,
                      caller_address_options const& aOptions)
{
  std::vector<member> members{ aUsable.begin(), aUsable.end() };
  std::mt19937_64 random{ aSeed };
  std::shuffle(members.begin(), members.end(), random);
  auto const firstOther = std::stable_partition(
    members.begin(), members.end(), [&](member const& aMember) {
      return aMember.mFailureDomain == aCallersDomain;
    });
  std::span<member const> const own{ members.begin(), firstOther };
  std::span<member const> const others{ firstOther, members.end() };

  std::size_t const most = aOptions.mMaxAddresses;
  std::size_t const reserved =
    std::min({ others.size(), aOptions.mMinOtherDomains, most });
  std::size_t const ownCount = std::min(own.size(), most - reserved);
  std::size_t const otherCount = std::min(others.size(), most - ownCount);
  std::vector<caller_address> addresses;
  AddAddresses(own, ownCount, addresses);
  AddAddresses(others, otherCount, addresses);
  return addresses;
}

}
