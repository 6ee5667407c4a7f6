#include <LibPlacement/PrefixCostPolicy.h>

#include <Bench/Slopes/ProcessorTimer.h>
#include <Bench/Slopes/Slopes.h>

#include <array>
#include <string>

namespace lycheeseam::bench {

namespace {

/// The largest size is the servers of one model when 4,600 servers hold 17
/// models.
constexpr std::array kServers{ std::size_t{ 12 },
                               std::size_t{ 90 },
                               std::size_t{ 270 } };
constexpr std::size_t kHolders = 16;
constexpr std::size_t kChoices = 20'000;

std::vector<placement_candidate>
MakeServers(std::size_t aCount)
{
  std::vector<placement_candidate> servers(aCount);
  for (std::size_t index = 0; index < aCount; ++index) {
    servers[index].mServer =
      backend_server_id{ "worker-" + std::to_string(index) };
    servers[index].mLoad.mQueuedTokens =
      static_cast<token_count>(index * 7919 % 20'000);
  }
  return servers;
}

std::vector<known_prefix>
MakeKnown(std::vector<placement_candidate> const& aServers)
{
  std::vector<known_prefix> known;
  known.reserve(kHolders);
  for (std::size_t index = 0; index < std::min(kHolders, aServers.size());
       ++index)
    known.push_back({ .mServer = aServers[index].mServer,
                      .mTokens = static_cast<token_count>(256 * index) });
  return known;
}

slope_result
MeasureAt(std::size_t aServers)
{
  std::vector<placement_candidate> const servers = MakeServers(aServers);
  std::vector<known_prefix> const known = MakeKnown(servers);
  prefix_cost_policy const policy;
  placement_request request{ .mPromptTokens = 8000,
                             .mKnown = known,
                             .mLookupState = lookup_state::Answered };
  std::size_t chosen = 0;
  processor_timer const timer;
  for (std::size_t index = 0; index < kChoices; ++index) {
    request.mRoot = block_hash{ index };
    chosen += policy.Choose(request, servers, instant{})->mIndex;
  }
  double const each = timer.NanosecondsEach(kChoices);
  return { .mOperation = chosen > 0 ? "choice" : "choice of the first",
           .mUnit = "servers",
           .mSize = aServers,
           .mNanoseconds = each,
           .mBytes =
             static_cast<double>(aServers * sizeof(placement_candidate)) };
}

}

std::vector<slope_result>
MeasureChoice()
{
  std::vector<slope_result> results;
  results.reserve(kServers.size());
  for (std::size_t const servers : kServers)
    results.push_back(MeasureAt(servers));
  return results;
}

}
