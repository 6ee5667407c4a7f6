#include <LibDispatch/ChooseServer.h>
#include <LibGateway/PlanSend.h>

#include <xxhash.h>

#include <algorithm>

namespace lycheeseam {

namespace {

// A workspace's priority goes before its routes'; routes use up to this many
// levels of the ten that servers know.
constexpr std::uint32_t kRouteLevels = 3;
constexpr std::uint32_t kLeastUrgent = 9;

// An engine reads fewer tokens faster than a transfer waits for its turn on
// the links of both ends.
constexpr token_count kLeastFetchedTokens = 1'000;

std::uint64_t
Hash(std::string_view aText, std::uint64_t aSeed)
{
  return XXH3_64bits_withSeed(aText.data(), aText.size(), aSeed);
}

std::optional<endpoint>
CacheStoreOf(traffic_core& aCore, instant aNow)
{
  std::shared_ptr<fleet_view const> const& view = aCore.View(aNow);
  dispatch_pool const* const pool =
    view->mConfig ? view->mConfig->CacheStore() : nullptr;
  return pool == nullptr ? std::nullopt : pool->mCacheStore;
}

// Of the request's shared part within its cache scope.
std::optional<std::uint64_t>
CacheKey(send_parameters const& aTerms, request_properties const& aProperties)
{
  prompt_part const* const shared = aProperties.SharedPart();
  if (shared == nullptr)
    return std::nullopt;
  return Hash(shared->mId, Hash(aTerms.mCacheScope, 0));
}

// Where the server fetches what it lacks of the prompt, if anywhere.
std::optional<endpoint>
FetchSource(traffic_core& aCore,
            server_choice_request const& aWanted,
            tracked_server const& aServer,
            std::uint64_t aKey,
            std::optional<endpoint> const& aStore)
{
  std::optional<backend_server_id> const holder =
    aCore.Prefixes().Holder(aWanted.mNow, aKey);
  // The server may have evicted a part of what it read; what it still has
  // isn't moved.
  if (holder == aServer.mRegistered.mId)
    return aStore;
  if (holder) {
    std::shared_ptr<tracked_server> const known = aCore.Servers().Find(*holder);
    if (known && !known->mIsUpdating &&
        known->mBreaker.State(aWanted.mNow) == breaker_state::Closed &&
        known->mRegistered.VersionOf(aWanted.mModel) ==
          aServer.mRegistered.VersionOf(aWanted.mModel))
      return known->mRegistered.mAddress;
  }
  if (aStore)
    return aStore;
  tracked_server const* const likely = ChooseCacheSource(
    aCore.Servers().Pool(aServer.mRegistered.mPool), aWanted, aServer);
  if (likely != nullptr)
    return likely->mRegistered.mAddress;
  return std::nullopt;
}

}

token_count
RequestTokens(request_properties const& aProperties)
{
  return aProperties.mPromptTokens.value_or(0) + aProperties.mMaxOutputTokens;
}

double
RequestUnits(dispatch_workspace const& aWorkspace,
             request_properties const& aProperties)
{
  if (aWorkspace.mUnit == quota_unit::Requests)
    return 1;
  if (!aProperties.mPromptTokens)
    return static_cast<double>(aWorkspace.mPlainTokens);
  return static_cast<double>(RequestTokens(aProperties));
}

std::uint32_t
RequestPriority(dispatch_route const& aRoute,
                dispatch_workspace const* aWorkspace)
{
  std::uint32_t const route = std::min(aRoute.mPriority, kRouteLevels - 1);
  if (aWorkspace == nullptr || !aWorkspace->mPriority)
    return route;
  return std::min(*aWorkspace->mPriority * kRouteLevels + route, kLeastUrgent);
}

std::uint64_t
RequestFingerprint(request_properties const& aProperties,
                   std::string_view aBody)
{
  std::uint64_t const path = Hash(aProperties.mPath, 0);
  return Hash(aBody, Hash(aProperties.mKey.value_or(std::string{}), path));
}

pool_name
ChoosePool(dispatch_route const& aRoute, request_id const& aRequest)
{
  std::uint64_t total = 0;
  for (route_share const& share : aRoute.mShares)
    total += share.mWeight;
  if (total == 0)
    return aRoute.mShares.empty() ? pool_name{} : aRoute.mShares.front().mPool;
  std::uint64_t place = Hash(aRequest.Text(), 0) % total;
  for (route_share const& share : aRoute.mShares) {
    if (place < share.mWeight)
      return share.mPool;
    place -= share.mWeight;
  }
  return aRoute.mShares.back().mPool;
}

server_choice_request
MakeChoiceRequest(instant aNow,
                  gateway_options const& aOptions,
                  fleet_view const& aView,
                  request_properties const& aProperties,
                  std::vector<backend_server_id> const& aTried)
{
  server_choice_request wanted{ .mNow = aNow,
                                .mDomain = aOptions.mDomain,
                                .mModel = aProperties.mModel,
                                .mWeights =
                                  aView.FindWeights(aProperties.mModel),
                                .mOutdatedAfter = aOptions.mOutdatedAfter,
                                .mTried = aTried };
  if (prompt_part const* const shared = aProperties.SharedPart())
    wanted.mPromptKey = Hash(shared->mId, 0);
  return wanted;
}

send_parameters
PlanSend(traffic_core& aCore,
         server_choice_request const& aWanted,
         tracked_server const& aServer,
         admitted_request const& aRows,
         request_properties const& aProperties,
         std::optional<std::uint64_t> aLastEvent)
{
  dispatch_workspace const* const workspace = aRows.mWorkspace;
  send_parameters terms{
    .mServer = aServer.mRegistered.mId,
    .mTimeLeft = std::chrono::duration_cast<std::chrono::milliseconds>(
      aRows.mDeadline - aWanted.mNow),
    .mPriority = RequestPriority(*aRows.mRoute, workspace),
    .mLastEvent = aLastEvent ? aLastEvent : aProperties.mLastEvent
  };
  if (workspace != nullptr)
    terms.mWorkspace = workspace->mName;
  if (aProperties.mModel.IsEmpty())
    return terms;
  std::uint64_t const version =
    aServer.mRegistered.VersionOf(aProperties.mModel);
  if (version > 0)
    terms.mVersion = version;
  // Parts made under other weights, or walled off, lie under another text.
  terms.mCacheScope = "v" + std::to_string(version);
  if (workspace != nullptr && workspace->mIsIsolated)
    terms.mCacheScope += "/" + workspace->mName.Text();
  std::optional<std::uint64_t> const key = CacheKey(terms, aProperties);
  if (!key || aProperties.SharedTokens() < kLeastFetchedTokens)
    return terms;
  std::optional<endpoint> const store = CacheStoreOf(aCore, aWanted.mNow);
  bool const isStored = aCore.Prefixes().IsStored(aWanted.mNow, *key);
  terms.mFetchFrom = FetchSource(aCore, aWanted, aServer, *key, store);
  if (store && !isStored) {
    terms.mSaveTo = store;
    aCore.Prefixes().OnStored(aWanted.mNow, *key);
  }
  return terms;
}

std::optional<prefix_holder>
PartRead(send_parameters const& aTerms, request_properties const& aProperties)
{
  std::optional<std::uint64_t> const key = CacheKey(aTerms, aProperties);
  if (!key)
    return std::nullopt;
  return prefix_holder{ .mKey = *key,
                        .mServer = aTerms.mServer,
                        .mIsStored = aTerms.mSaveTo.has_value() };
}

}
