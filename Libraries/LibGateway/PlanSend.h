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

/// \file What follows from a request's properties for its charge and its sends.

namespace lycheeseam {

/// The tokens that a request may take on a server: prompt and longest answer.
token_count
RequestTokens(request_properties const& aProperties);

/// What a request is charged, in its workspace's unit.
double
RequestUnits(dispatch_workspace const& aWorkspace,
             request_properties const& aProperties);

/// The priority that a server is told: 0, the most urgent, to 9.
std::uint32_t
RequestPriority(dispatch_route const& aRoute,
                dispatch_workspace const* aWorkspace);

/// Tells requests apart that may crash servers: path, key and body.
std::uint64_t
RequestFingerprint(request_properties const& aProperties,
                   std::string_view aBody);

/// One of a route's pools by their weights; equal for equal request ids.
pool_name
ChoosePool(dispatch_route const& aRoute, request_id const& aRequest);

/// What the choice of a server depends on.
server_choice_request
MakeChoiceRequest(instant aNow,
                  gateway_options const& aOptions,
                  fleet_view const& aView,
                  request_properties const& aProperties,
                  std::vector<backend_server_id> const& aTried);

/// What a request tells the server that was chosen. aLastEvent is the last one
/// that the caller was sent of an answer that another server began.
send_parameters
PlanSend(traffic_core& aCore,
         server_choice_request const& aWanted,
         tracked_server const& aServer,
         admitted_request const& aRows,
         request_properties const& aProperties,
         std::optional<std::uint64_t> aLastEvent);

/// The shared prompt part that a server has read once it has answered; nothing
/// when the request shares none.
std::optional<prefix_holder>
PartRead(send_parameters const& aTerms, request_properties const& aProperties);

}
