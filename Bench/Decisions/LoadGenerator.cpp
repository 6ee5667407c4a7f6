#include <LibPlacement/TokenEstimate.h>

#include <Bench/Decisions/LoadGenerator.h>

#include <algorithm>
#include <chrono>
#include <cmath>

namespace lycheeseam::bench {

namespace {

constexpr std::uint64_t kApplications = 3;
constexpr std::uint64_t kCatalogues = 24;
/// The exponent of the Zipf distribution of requests over catalogues.
constexpr double kZipfExponent = 1.1;
constexpr std::size_t kApplicationBlocks = 4;
constexpr std::size_t kMinCatalogueBlocks = 6;
constexpr std::size_t kCatalogueBlocksRange = 20;
/// The probability that a request continues an open conversation.
constexpr double kContinueProbability = 0.5;
constexpr std::size_t kOpenConversations = 24;
constexpr std::size_t kMaxConversationBlocks = 16;
constexpr token_count kMeanAnswerTokens = 120;
constexpr std::size_t kFloodingWorkspace = 1;

std::uint64_t
Mix(std::uint64_t aLeft, std::uint64_t aRight)
{
  std::uint64_t mixed =
    (aLeft ^ (aRight + 0x9E3779B97F4A7C15)) * 0xBF58476D1CE4E5B9;
  mixed ^= mixed >> 29U;
  return mixed * 0x94D049BB133111EB;
}

/// Appends aCount blocks to a chain; their hashes depend only on the seed and
/// the chain's first block.
void
Extend(std::vector<block_hash>& aBlocks,
       std::uint64_t aSeed,
       std::size_t aCount)
{
  for (std::size_t index = 0; index < aCount; ++index) {
    std::uint64_t const own = Mix(aSeed, index) >> (64 - kOwnHashBits);
    std::uint64_t const root =
      aBlocks.empty() ? Mix(aSeed, 0) >> kOwnHashBits : ShardKey(aBlocks[0]);
    aBlocks.emplace_back((root << kOwnHashBits) | own);
  }
}

}

load_generator::load_generator(deployment const& aDeployment,
                               bench_case const& aCase,
                               std::uint64_t aSeed)
  : mDeployment(aDeployment)
  , mCase(aCase)
  , mRandom(aSeed)
  , mConversations(aDeployment.mShares.size())
{
}

std::vector<arrival>
load_generator::Generate(duration aLength)
{
  std::vector<arrival> all;
  for (std::size_t index = 0; index < mDeployment.mShares.size(); ++index)
    GenerateWorkspace(index, aLength, all);
  std::ranges::stable_sort(all, {}, &arrival::mAt);
  return all;
}

void
load_generator::GenerateWorkspace(std::size_t aWorkspace,
                                  duration aLength,
                                  std::vector<arrival>& aAll)
{
  double const factor = aWorkspace == kFloodingWorkspace ? mCase.mFlood : 1.0;
  double const rate =
    mDeployment.mArrivalRate * mDeployment.mShares[aWorkspace] * factor;
  std::exponential_distribution<double> gap{ rate };
  double seconds = gap(mRandom);
  while (seconds < std::chrono::duration<double>(aLength).count()) {
    instant const at = instant{} + std::chrono::duration_cast<duration>(
                                     std::chrono::duration<double>{ seconds });
    aAll.push_back(MakeRequest(at, aWorkspace));
    seconds += gap(mRandom);
  }
}

arrival
load_generator::MakeRequest(instant aAt, std::size_t aWorkspace)
{
  conversation& current = PickConversation(aAt, aWorkspace);
  arrival request{ .mAt = aAt, .mWorkspace = aWorkspace };
  request.mInstance = static_cast<std::size_t>(
    Uniform() * static_cast<double>(mDeployment.mInstances));
  std::uint64_t const application =
    Mix(aWorkspace + 1, current.mCatalogue % kApplications);
  std::uint64_t const catalogue = Mix(application, current.mCatalogue + 100);
  Extend(request.mBlocks, application, kApplicationBlocks);
  Extend(request.mBlocks,
         catalogue,
         kMinCatalogueBlocks + catalogue % kCatalogueBlocksRange);
  Extend(request.mBlocks, Mix(catalogue, current.mNumber), current.mBlocks);
  current.mBlocks = std::min(current.mBlocks + 1, kMaxConversationBlocks);
  token_count const tail = static_cast<token_count>(Uniform() * kBlockTokens);
  request.mPromptTokens =
    static_cast<token_count>(request.mBlocks.size()) * kBlockTokens + tail + 1;
  request.mAnswerTokens =
    10 +
    static_cast<token_count>(-std::log(1.0 - Uniform()) * kMeanAnswerTokens);
  return request;
}

load_generator::conversation&
load_generator::PickConversation(instant aAt, std::size_t aWorkspace)
{
  std::vector<conversation>& open = mConversations[aWorkspace];
  if (!open.empty() && Uniform() < kContinueProbability)
    return open[static_cast<std::size_t>(Uniform() *
                                         static_cast<double>(open.size()))];
  if (open.size() >= kOpenConversations)
    open.erase(open.begin());
  open.push_back({ .mCatalogue = PickCatalogue(aAt),
                   .mNumber = ++mLastConversation,
                   .mBlocks = 1 });
  return open.back();
}

std::uint64_t
load_generator::PickCatalogue(instant aAt)
{
  static std::vector<double> const kWeights = []() {
    std::vector<double> ranked;
    for (std::uint64_t rank = 1; rank <= kApplications * kCatalogues; ++rank)
      ranked.push_back(std::pow(static_cast<double>(rank), -kZipfExponent));
    return ranked;
  }();
  std::discrete_distribution<std::uint64_t> byRank(kWeights.begin(),
                                                   kWeights.end());
  std::uint64_t const rank = byRank(mRandom);
  if (mCase.mMoveInterval == duration{})
    return rank;
  // Every move assigns the ranks to other catalogues.
  std::uint64_t const moves =
    static_cast<std::uint64_t>(aAt.time_since_epoch() / mCase.mMoveInterval);
  return (rank + moves * 7) % (kApplications * kCatalogues);
}

double
load_generator::Uniform()
{
  return std::uniform_real_distribution<double>{}(mRandom);
}

}
