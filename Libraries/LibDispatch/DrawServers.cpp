#include <LibDispatch/DrawServers.h>
#include <LibDispatch/ExpectedTime.h>
#include <LibDispatch/RendezvousRank.h>

#include <algorithm>
#include <bit>
#include <functional>

namespace lycheeseam {

namespace {

// Free slots times speed; 0 when the request doesn't fit.
double
FreeCapacity(tracked_server const& aServer,
             server_choice_request const& aRequest)
{
  load_estimate const estimate = EstimateFor(aServer, aRequest);
  if (!HasMemory(aServer, estimate, aRequest))
    return 0;
  double const slots = aServer.mRegistered.mSlots;
  return std::max(0.0, slots - estimate.mRequests) * CurrentSpeed(estimate);
}

// When no server has a free slot: speed per request, so that queues become
// equally long in time. Servers without memory for the request still get none
// while another has some.
double
CapacityPerRequest(tracked_server const& aServer,
                   server_choice_request const& aRequest,
                   bool aNeedsMemory)
{
  load_estimate const estimate = EstimateFor(aServer, aRequest);
  if (aNeedsMemory && !HasMemory(aServer, estimate, aRequest))
    return 0;
  return aServer.mRegistered.mSlots * CurrentSpeed(estimate) /
         (1 + aServer.Pressure(aRequest.mNow));
}

// The weights of the servers, summed up from the first one on. Empty when all
// are 0.
template<std::invocable<tracked_server const&> Weight>
std::vector<double>
SumsOf(std::span<tracked_server* const> aServers, Weight aWeight)
{
  std::vector<double> sums;
  sums.reserve(aServers.size());
  double sum = 0;
  for (tracked_server const* const server : aServers)
    sums.push_back(sum += aWeight(*server));
  if (sum <= 0)
    sums.clear();
  return sums;
}

std::vector<double>
WeightSums(std::span<tracked_server* const> aServers,
           server_choice_request const& aRequest)
{
  std::vector<double> sums =
    SumsOf(aServers, [&](tracked_server const& aServer) {
      return FreeCapacity(aServer, aRequest);
    });
  for (bool const needsMemory : { true, false }) {
    if (!sums.empty())
      break;
    sums = SumsOf(aServers, [&](tracked_server const& aServer) {
      return CapacityPerRequest(aServer, aRequest, needsMemory);
    });
  }
  return sums;
}

}

double
DerivedSample(server_choice_request const& aRequest, std::uint64_t aSalt)
{
  constexpr double kRange = 18'446'744'073'709'551'616.0;
  constexpr std::uint64_t kStep = 0x9e3779b97f4a7c15ULL;
  std::uint64_t const bits = std::bit_cast<std::uint64_t>(aRequest.mSample);
  // Two rounds: the bits of a double that is evenly spread aren't.
  std::uint64_t const first = RendezvousRank(bits, (aSalt + 1) * kStep);
  return static_cast<double>(RendezvousRank(first, kStep)) / kRange;
}

std::vector<tracked_server*>
DrawServers(std::span<tracked_server* const> aServers,
            server_choice_request const& aRequest,
            std::size_t aCount)
{
  std::vector<double> const sums = WeightSums(aServers, aRequest);
  std::vector<tracked_server*> drawn;
  for (std::size_t draw = 0; draw < aCount && !sums.empty(); ++draw) {
    double const point = DerivedSample(aRequest, draw) * sums.back();
    auto const found = std::upper_bound(sums.begin(), sums.end(), point);
    std::size_t const index = std::min<std::size_t>(
      static_cast<std::size_t>(found - sums.begin()), sums.size() - 1);
    drawn.push_back(aServers[index]);
  }
  return drawn;
}

}
