#include <LibRequest/DecideRoute.h>

namespace lycheeseam {

namespace {

refusal
NoRouteRefusal(caller_request const& aRequest)
{
  if (aRequest.mKind == call_kind::Completion) {
    return refusal{ .mCode = refusal_code::UnknownModel,
                    .mMessage = "no route serves the model \"" +
                                aRequest.mCompletion.mModel.Text() +
                                "\" on this path" };
  }
  return refusal{ .mCode = refusal_code::UnknownRoute,
                  .mMessage = "no route serves this path" };
}

// Sets the workspace of the request's key, or returns why the key is refused.
std::optional<refusal>
Authorize(config_tables const& aTables,
          caller_request const& aRequest,
          admitted_route& aAdmitted)
{
  if (aAdmitted.mRoute.mAccess == route_access::Open)
    return std::nullopt;
  if (!aRequest.mKey) {
    return refusal{ .mCode = refusal_code::MissingKey,
                    .mMessage = "this route needs a key: send it as "
                                "\"Authorization: Bearer KEY\"" };
  }
  key_row const* const key = aTables.FindKey(*aRequest.mKey);
  if (!key) {
    return refusal{ .mCode = refusal_code::InvalidKey,
                    .mMessage = "the key is unknown or withdrawn" };
  }
  workspace_row const* const workspace = aTables.FindWorkspace(key->mWorkspace);
  if (!workspace) {
    return refusal{ .mCode = refusal_code::UnknownWorkspace,
                    .mMessage = "the key's workspace no longer exists" };
  }
  aAdmitted.mWorkspace = *workspace;
  return std::nullopt;
}

}

route_decision
DecideRoute(config_tables const& aTables, caller_request const& aRequest)
{
  route_row const* const route =
    aTables.FindRoute(aRequest.Path(), aRequest.mCompletion.mModel);
  if (!route)
    return NoRouteRefusal(aRequest);
  pool_row const* const pool = aTables.FindPool(route->mPool);
  if (!pool) {
    return refusal{ .mCode = refusal_code::NoBackendServer,
                    .mMessage = "the route's pool does not exist" };
  }
  admitted_route admitted{ .mRoute = *route, .mPool = *pool };
  std::optional<refusal> refused = Authorize(aTables, aRequest, admitted);
  if (refused)
    return *refused;
  return admitted;
}

}
