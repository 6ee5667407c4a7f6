#include <LibDispatch/ExpectedTime.h>

#include <algorithm>

namespace lycheeseam {

namespace {

// The lowest speed that is taken at its word, so that a wrong report doesn't
// divide by zero.
constexpr double kLowestSpeed = 0.05;

// Servers run waiting requests by priority but report only their count, so the
// mix is taken to be even over the three levels of a route's priority.
constexpr double kPriorityLevels = 3;

// The part of the waiting requests that runs before this one.
double
PartAhead(std::uint32_t aPriority)
{
  return std::min(1.0, (static_cast<double>(aPriority) + 1) / kPriorityLevels);
}

double
Slots(tracked_server const& aServer)
{
  return std::max(1.0, static_cast<double>(aServer.mRegistered.mSlots));
}

// Requests that must end before this one gets a slot.
double
EndsBeforeSlot(tracked_server const& aServer,
               load_estimate const& aEstimate,
               double aPartAhead)
{
  double const excess = aEstimate.mRequests + 1 - Slots(aServer);
  if (excess <= 0)
    return 0;
  return std::max(1.0, excess - aEstimate.mWaiting * (1 - aPartAhead));
}

// The part of the memory that must become free before the request fits.
double
MissingMemory(tracked_server const& aServer,
              load_estimate const& aEstimate,
              server_choice_request const& aRequest)
{
  if (aServer.mMemoryTokens <= 0)
    return 0;
  double const memory = static_cast<double>(aServer.mMemoryTokens);
  return std::max(
    0.0,
    (aEstimate.mTokens + static_cast<double>(aRequest.mTokens)) / memory - 1);
}

}

load_estimate
EstimateFor(tracked_server const& aServer,
            server_choice_request const& aRequest)
{
  load_estimate estimate = aServer.Estimate(aRequest.mNow);
  double const others = estimate.mRequests - aServer.mInFlight;
  double const tokens = static_cast<double>(aServer.mInFlightTokens) +
                        others * aRequest.mTypicalTokens;
  estimate.mTokens = std::max(estimate.mTokens, tokens);
  return estimate;
}

double
CurrentSpeed(load_estimate const& aEstimate)
{
  return std::max(kLowestSpeed,
                  aEstimate.mSpeed /
                    std::max(kLowestSpeed, aEstimate.mSlowdown));
}

bool
HasMemory(tracked_server const& aServer,
          load_estimate const& aEstimate,
          server_choice_request const& aRequest)
{
  return MissingMemory(aServer, aEstimate, aRequest) <= 0;
}

bool
HasRoom(tracked_server const& aServer,
        load_estimate const& aEstimate,
        server_choice_request const& aRequest)
{
  return aEstimate.mRequests + 1 <= Slots(aServer) &&
         HasMemory(aServer, aEstimate, aRequest);
}

duration
ExpectedTime(tracked_server const& aServer,
             server_choice_request const& aRequest,
             double aTokens,
             placement_costs const& aCosts)
{
  load_estimate const estimate = EstimateFor(aServer, aRequest);
  double const partAhead = PartAhead(aRequest.mPriority);
  double const waitingTokens =
    estimate.mTokens *
    std::min(1.0, estimate.mWaiting / std::max(1.0, estimate.mRequests));
  double const unread =
    partAhead * waitingTokens +
    aCosts.mUnreadPart * (estimate.mTokens - waitingTokens) + aTokens;
  double const holds =
    EndsBeforeSlot(aServer, estimate, partAhead) / Slots(aServer) +
    MissingMemory(aServer, estimate, aRequest);
  std::chrono::duration<double> const work{
    unread / aCosts.mReadTokensPerSecond +
    holds * std::chrono::duration<double>{ aCosts.mHoldTime }.count()
  };
  duration const time =
    std::chrono::duration_cast<duration>(work / CurrentSpeed(estimate));
  if (aServer.mRegistered.mDomain == aRequest.mDomain)
    return time;
  return time + aCosts.mDomainDelay +
         aCosts.mTimePerByte * static_cast<std::int64_t>(aRequest.mBytes);
}

}
