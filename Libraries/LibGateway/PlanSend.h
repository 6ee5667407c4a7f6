#pragma once

#include <LibDispatch/DispatchRoute.h>
#include <LibDispatch/DispatchWorkspace.h>
#include <LibDispatch/RequestProperties.h>
#include <LibDispatch/ServerChoiceRequest.h>
#include <LibGateway/AdmittedRequest.h>
#include <LibGateway/SendParameters.h>
#include <LibGateway/TrafficCore.h>

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

/// \file What a request is charged and what its servers are sent, derived from
/// its properties.

namespace lycheeseam {

/// The tokens that a request may occupy on a server: those of its prompt and of
/// its longest possible answer.
token_count
RequestTokens(request_properties const& aProperties);

/// The bytes of a request and of its longest possible answer, as far as is
/// known.
std::uint64_t
CrossingBytes(request_properties const& aProperties, std::string_view aBody);

/// What a request is charged, in its workspace's quota unit.
double
RequestUnits(dispatch_workspace const& aWorkspace,
             request_properties const& aProperties);

/// The priority that a server is sent, from 0 (most urgent) to 9.
std::uint32_t
RequestPriority(dispatch_route const& aRoute,
                dispatch_workspace const* aWorkspace);

/// Hash of path, caller's key and body; a request that crashes servers is
/// recognized by it when it is sent again.
std::uint64_t
RequestFingerprint(request_properties const& aProperties,
                   std::string_view aBody);

/// Chooses one of a route's pools by weight; equal request ids give equal
/// pools.
pool_name
ChoosePool(dispatch_route const& aRoute, request_id const& aRequest);

/// Collects what the choice of a server depends on.
server_choice_request
MakeChoiceRequest(instant aNow,
                  gateway_options const& aOptions,
                  fleet_view const& aView,
                  request_properties const& aProperties,
                  std::vector<backend_server_id> const& aTried);

/// What the chosen server is sent besides the caller's request. aLastEventId is
/// the last event that the caller was sent of an answer that another server
/// began.
send_parameters
PlanSend(traffic_core& aCore,
         server_choice_request const& aChoiceRequest,
         tracked_server const& aServer,
         admitted_request const& aAdmitted,
         request_properties const& aProperties,
         std::optional<std::uint64_t> aLastEventId);

/// The shared prompt prefixes that the server holds once it has read the
/// prompt.
std::vector<prefix_holder>
MakePrefixHolders(send_parameters const& aParameters);

}
