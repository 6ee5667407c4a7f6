#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Instant.h>

#include <chrono>
#include <cstddef>

namespace lycheeseam {

/// What the parts of an expected time to the first event cost.
struct placement_costs
{
  /// Prompt tokens that a server of usual speed reads per second.
  double mReadTokensPerSecond = 20'000;
  /// The part of the tokens on a server that belongs to running requests whose
  /// prompts haven't been read yet.
  double mUnreadPart = 0.25;
  /// How long a request holds a slot on a server of usual speed.
  duration mHoldTime = std::chrono::milliseconds{ 500 };
  /// The cost of cached tokens that are fetched from another server, relative
  /// to reading them. The fetch itself takes about a tenth, but a copy also
  /// evicts other prompts: at 0.1 more tokens are read again than with
  /// ChooseServer in TestPlacementSimulation.
  double mFetchPart = 0.25;
  /// The delay that another failure domain adds to a first event: twice the
  /// longest way between domains.
  duration mDomainDelay = std::chrono::milliseconds{ 2 };
  /// The price of a byte that crosses domains. A request of 40 kB is worth 4 ms
  /// at this price, about a hundredth of a target latency.
  duration mTimePerByte = std::chrono::nanoseconds{ 100 };
  /// A server of the home domain is preferred while it is slower by no more.
  duration mHomeMargin = std::chrono::milliseconds{ 15 };
  /// Shared tokens from which on a prompt goes where it is cached.
  token_count mLargeShared = 1'000;
  /// Servers that are compared for one request.
  std::size_t mCandidates = 3;
};

}
