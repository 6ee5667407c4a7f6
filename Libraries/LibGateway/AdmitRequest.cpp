#include <LibDispatch/PartKeys.h>
#include <LibEvents/EventLog.h>
#include <LibGateway/AdmitRequest.h>
#include <LibGateway/LogEvidence.h>
#include <LibGateway/PlanSend.h>
#include <LibGateway/RetryAfter.h>

#include <algorithm>
#include <span>

namespace lycheeseam {

namespace {

// A new instance reads its first configuration within milliseconds of its
// start.
constexpr std::chrono::milliseconds kConfigRetryAfter{ 200 };

std::optional<request_refusal>
FindRouteAndWorkspace(request_properties const& aProperties,
                      admitted_request& aAdmitted)
{
  dispatch_config const& config = *aAdmitted.mConfig;
  aAdmitted.mRoute = config.FindRoute(aProperties.mHost, aProperties.mPath);
  if (aAdmitted.mRoute == nullptr)
    return request_refusal{ .mStatus = refusal_status::NotFound };
  if (aAdmitted.mRoute->mIsPublic || !config.RequiresKeys())
    return std::nullopt;
  if (aProperties.mKey)
    aAdmitted.mWorkspace = config.FindWorkspace(*aProperties.mKey);
  if (aAdmitted.mWorkspace == nullptr)
    return request_refusal{ .mStatus = refusal_status::Unauthorized };
  return std::nullopt;
}

// Refuses a request with a part in quarantine, unless it is the trial that is
// due.
std::optional<request_refusal>
CheckParts(traffic_core& aCore,
           instant aNow,
           request_properties const& aProperties,
           admitted_request& aAdmitted)
{
  aAdmitted.mParts = PartKeys(aProperties.SharedParts(), aProperties.mModel);
  std::optional<quarantined_part> const found =
    aCore.Suspects().FindQuarantined(aNow, aAdmitted.mParts);
  if (!found)
    return std::nullopt;
  if (aNow >= found->mTrialAt && aCore.RunsTrialOf(aNow, found->mPart)) {
    aAdmitted.mIsTrial = true;
    aCore.Suspects().OnTrial(aNow, aAdmitted.mParts);
    return std::nullopt;
  }
  LogEvent("part_refused",
           { { "request", aProperties.mId.Text() },
             { "parts", aProperties.SharedPartIds() },
             { "part_key", PartKeyText(found->mPart) },
             { "crashes", std::int64_t{ found->mCrashes } } });
  return request_refusal{
    .mRetryAfter =
      std::max(kPoisonRetryAfter,
               std::chrono::duration_cast<std::chrono::milliseconds>(
                 found->mTrialAt - aNow))
  };
}

// True while a server of the pool that runs the software takes requests.
bool
IsSoftwareInUse(traffic_core& aCore,
                pool_name const& aPool,
                software_version const& aSoftware)
{
  std::span<tracked_server* const> const servers = aCore.Servers().Pool(aPool);
  return std::any_of(servers.begin(), servers.end(), [&](auto const* aServer) {
    return !aServer->IsLeaving() && aServer->mRegistered.mSoftware == aSoftware;
  });
}

void
LogStreamRefused(std::string_view aCause,
                 request_properties const& aProperties,
                 fleet_view const& aView)
{
  LogEvent(
    "resumption_refused",
    { { "request", aProperties.mId.Text() },
      { "resumes", aProperties.mResumes.Text() },
      { "cause", std::string{ aCause } },
      { "is_software_complete", std::int64_t{ aView.mIsSoftwareComplete } } });
}

// Finds the software that may continue the stream that a request resumes. What
// another one writes doesn't fit to what the caller has.
std::optional<request_refusal>
FindSoftware(traffic_core& aCore,
             instant aNow,
             request_properties const& aProperties,
             admitted_request& aAdmitted)
{
  if (!aAdmitted.mRoute->mIsResumable || !aProperties.IsResumption())
    return std::nullopt;
  fleet_view const& view = *aCore.View(aNow);
  aAdmitted.mSoftware =
    aCore.Origins().Find(aNow, stream_origins::Key(aProperties.mResumes));
  if (!aAdmitted.mSoftware)
    aAdmitted.mSoftware = view.OnlySoftware(aAdmitted.mPool);
  if (!aAdmitted.mSoftware) {
    LogStreamRefused("origin_unknown", aProperties, view);
    return request_refusal{ .mRetryAfter = kRetryAfter };
  }
  if (!IsSoftwareInUse(aCore, aAdmitted.mPool, *aAdmitted.mSoftware)) {
    LogStreamRefused("software_gone", aProperties, view);
    return request_refusal{ .mRetryAfter = kSoftwareGoneRetryAfter };
  }
  return std::nullopt;
}

std::optional<request_refusal>
Charge(traffic_core& aCore,
       instant aNow,
       request_properties const& aProperties,
       admitted_request& aAdmitted)
{
  if (aAdmitted.mWorkspace == nullptr)
    return std::nullopt;
  dispatch_workspace const& workspace = *aAdmitted.mWorkspace;
  aAdmitted.mUnits = RequestUnits(workspace, aProperties);
  charge_kind const kind =
    aAdmitted.mSoftware ? charge_kind::Resumption : charge_kind::NewRequest;
  quota_pacing const pacing = aCore.Servers().IsAdaptive(aNow, aAdmitted.mPool)
                                ? quota_pacing::Paced
                                : quota_pacing::Unpaced;
  if (aCore.Quota().TryCharge(aNow, workspace, aAdmitted.mUnits, kind, pacing))
    return std::nullopt;
  fleet_view const& view = *aCore.View(aNow);
  LogEvent("over_quota",
           { { "request", aProperties.mId.Text() },
             { "workspace", workspace.mName.Text() },
             { "units", aAdmitted.mUnits },
             { "rate", workspace.mRate },
             { "burst", workspace.mBurst },
             { "used", aCore.Quota().Used(aNow, workspace.mName) },
             { "limit", aCore.Quota().Limit(workspace) },
             { "instances", std::int64_t{ view.mInstances } },
             { "silent", std::int64_t{ view.mUnresponsiveInstances } } });
  return request_refusal{
    .mStatus = refusal_status::OverQuota,
    .mRetryAfter = std::chrono::duration_cast<std::chrono::milliseconds>(
      aCore.Quota().WaitFor(aNow, workspace, aAdmitted.mUnits, pacing))
  };
}

}

std::optional<request_refusal>
AdmitRequest(traffic_core& aCore,
             instant aNow,
             request_properties const& aProperties,
             std::string_view aBody,
             admitted_request& aAdmitted)
{
  if (aCore.IsRefusing())
    return request_refusal{ .mRetryAfter = kRetryAfter };
  aAdmitted.mConfig = aCore.View(aNow)->mConfig;
  if (!aAdmitted.mConfig)
    return request_refusal{ .mRetryAfter = kConfigRetryAfter };
  if (std::optional<request_refusal> const refusal =
        FindRouteAndWorkspace(aProperties, aAdmitted))
    return refusal;
  aAdmitted.mFingerprint = RequestFingerprint(aProperties, aBody);
  if (aCore.Crashes().IsPoison(aNow, aAdmitted.mFingerprint))
    return request_refusal{ .mRetryAfter = kPoisonRetryAfter };
  if (std::optional<request_refusal> const refusal =
        CheckParts(aCore, aNow, aProperties, aAdmitted))
    return refusal;
  // A stream goes on in the pool in which it began.
  aAdmitted.mPool = ChoosePool(*aAdmitted.mRoute, aProperties.StreamId());
  if (std::optional<request_refusal> const refusal =
        FindSoftware(aCore, aNow, aProperties, aAdmitted))
    return refusal;
  if (std::optional<request_refusal> const refusal =
        Charge(aCore, aNow, aProperties, aAdmitted))
    return refusal;
  aAdmitted.mDeadline = aNow + aAdmitted.mRoute->mTimeout;
  if (aProperties.mMaxWait)
    aAdmitted.mDeadline =
      std::min(aAdmitted.mDeadline, aNow + *aProperties.mMaxWait);
  return std::nullopt;
}

bool
IsPoison(traffic_core& aCore, instant aNow, admitted_request const& aAdmitted)
{
  return aCore.Crashes().IsPoison(aNow, aAdmitted.mFingerprint) ||
         aCore.Suspects().FindQuarantined(aNow, aAdmitted.mParts).has_value();
}

void
Refund(traffic_core& aCore,
       instant aNow,
       admitted_request const& aAdmitted,
       refusal_status aStatus)
{
  // Of the refusals after a charge, only this one makes that promise.
  if (aStatus != refusal_status::NotReady || aAdmitted.mWorkspace == nullptr ||
      aAdmitted.mUnits <= 0)
    return;
  aCore.Quota().Refund(aNow, aAdmitted.mWorkspace->mName, aAdmitted.mUnits);
}

}
