#include <LibDispatch/ChooseByCost.h>
#include <LibDispatch/ChooseCacheStore.h>
#include <LibDispatch/ChooseServer.h>
#include <LibDispatch/PrefixKeys.h>
#include <LibGateway/FetchSource.h>
#include <LibGateway/PlanSend.h>

#include <xxhash.h>

#include <algorithm>

namespace lycheeseam {

namespace {

// Servers know ten priority levels. A workspace's priority takes precedence
// over those of its routes, which use up to this many levels.
constexpr std::uint32_t kRoutePriorityLevels = 3;
constexpr std::uint32_t kLowestPriority = 9;

// A streamed token is an event of about this size.
constexpr std::uint64_t kAnswerBytesPerToken = 40;

std::uint64_t
Hash(std::string_view aText, std::uint64_t aSeed)
{
  return XXH3_64bits_withSeed(aText.data(), aText.size(), aSeed);
}

// A number from 0 to 1 that is distributed evenly over requests.
double
Sample(request_id const& aRequest)
{
  // Routes with several pools use the hash with seed 0.
  constexpr std::uint64_t kSeed = 1;
  constexpr double kHighest = 18'446'744'073'709'551'615.0;
  return static_cast<double>(Hash(aRequest.Text(), kSeed)) / kHighest;
}

// Parts computed with other weights, and those of isolated workspaces, have a
// cache scope of their own. The newest configuration decides: the one that
// admitted the request may have been replaced since.
std::string
CacheScope(traffic_core& aCore,
           instant aNow,
           dispatch_workspace const* aWorkspace,
           std::uint64_t aVersion)
{
  std::string scope = "v" + std::to_string(aVersion);
  std::shared_ptr<fleet_view const> const& view = aCore.View(aNow);
  if (!view->mConfig)
    return scope;
  if (aWorkspace != nullptr) {
    dispatch_workspace const* const current =
      view->mConfig->FindWorkspace(aWorkspace->mName);
    if (current == nullptr || current->mIsIsolated)
      return scope + "/" + aWorkspace->mName.Text();
  }
  if (!view->mConfig->SharedScope().empty())
    scope.append("-").append(view->mConfig->SharedScope());
  return scope;
}

// The KV cache store that keeps the prefix with this key, if there is one.
std::optional<endpoint>
CacheStoreOf(traffic_core& aCore, instant aNow, std::uint64_t aKey)
{
  std::shared_ptr<fleet_view const> const& view = aCore.View(aNow);
  if (!view->mConfig)
    return std::nullopt;
  cache_store const* const store =
    ChooseCacheStore(view->mConfig->CacheStores(), aKey);
  return store == nullptr ? std::nullopt : std::optional{ store->mAddress };
}

}

token_count
RequestTokens(request_properties const& aProperties)
{
  return aProperties.mPromptTokens.value_or(0) + aProperties.mMaxOutputTokens;
}

std::uint64_t
CrossingBytes(request_properties const& aProperties, std::string_view aBody)
{
  return aBody.size() + kAnswerBytesPerToken * aProperties.mMaxOutputTokens;
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
  std::uint32_t const route =
    std::min(aRoute.mPriority, kRoutePriorityLevels - 1);
  if (aWorkspace == nullptr || !aWorkspace->mPriority)
    return route;
  return std::min(*aWorkspace->mPriority * kRoutePriorityLevels + route,
                  kLowestPriority);
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
  std::uint64_t point = Hash(aRequest.Text(), 0) % total;
  for (route_share const& share : aRoute.mShares) {
    if (point < share.mWeight)
      return share.mPool;
    point -= share.mWeight;
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
  server_choice_request request{ .mNow = aNow,
                                 .mDomain = aOptions.mDomain,
                                 .mTokens = RequestTokens(aProperties),
                                 .mPromptTokens =
                                   aProperties.mPromptTokens.value_or(0),
                                 .mSharedTokens = aProperties.SharedTokens(),
                                 .mSample = Sample(aProperties.mId),
                                 .mModel = aProperties.mModel,
                                 .mWeights =
                                   aView.FindWeights(aProperties.mModel),
                                 .mOutdatedAfter = aOptions.mOutdatedAfter,
                                 .mTried = aTried };
  if (prompt_part const* const shared = aProperties.SharedPart())
    request.mPromptKey = Hash(shared->mId, 0);
  return request;
}

send_parameters
PlanSend(traffic_core& aCore,
         server_choice_request const& aChoiceRequest,
         tracked_server const& aServer,
         admitted_request const& aAdmitted,
         request_properties const& aProperties,
         std::optional<std::uint64_t> aLastEventId)
{
  dispatch_workspace const* const workspace = aAdmitted.mWorkspace;
  send_parameters parameters{
    .mServer = aServer.mRegistered.mId,
    .mTimeLeft = std::chrono::duration_cast<std::chrono::milliseconds>(
      aAdmitted.mDeadline - aChoiceRequest.mNow),
    .mPriority = RequestPriority(*aAdmitted.mRoute, workspace),
    .mLastEvent = aLastEventId ? aLastEventId : aProperties.mLastEvent
  };
  if (workspace != nullptr)
    parameters.mWorkspace = workspace->mName;
  if (aProperties.mModel.IsEmpty())
    return parameters;
  std::uint64_t const version =
    aServer.mRegistered.VersionOf(aProperties.mModel);
  if (version > 0)
    parameters.mVersion = version;
  parameters.mCacheScope =
    CacheScope(aCore, aChoiceRequest.mNow, workspace, version);
  parameters.mPrefixKeys =
    PrefixKeys(aProperties.mParts, parameters.mCacheScope);
  if (parameters.mPrefixKeys.empty())
    return parameters;
  std::uint64_t const longest = parameters.mPrefixKeys.back();
  std::optional<endpoint> const store =
    CacheStoreOf(aCore, aChoiceRequest.mNow, longest);
  parameters.mFetchFrom =
    FetchSource(aCore, aChoiceRequest, aServer, parameters.mPrefixKeys, store);
  if (store && !aCore.Prefixes().IsStored(aChoiceRequest.mNow, longest)) {
    parameters.mSaveTo = store;
    aCore.Prefixes().OnStored(aChoiceRequest.mNow, longest);
  }
  return parameters;
}

std::vector<prefix_holder>
MakePrefixHolders(send_parameters const& aParameters)
{
  std::vector<prefix_holder> holders;
  for (std::uint64_t const key : aParameters.mPrefixKeys)
    holders.push_back({ .mKey = key, .mServer = aParameters.mServer });
  if (!holders.empty())
    holders.back().mIsStored = aParameters.mSaveTo.has_value();
  return holders;
}

}
