#pragma once

#include <LibDispatch/RequestProperties.h>
#include <LibGateway/AdmittedRequest.h>
#include <LibGateway/RequestRefusal.h>
#include <LibGateway/TrafficCore.h>

#include <optional>
#include <string_view>

namespace lycheeseam {

/// Finds the route, workspace and pool of a request and charges the workspace's
/// quota. Fills aAdmitted up to the step that refuses the request; returns the
/// refusal, or nothing when the request is admitted.
std::optional<request_refusal>
AdmitRequest(traffic_core& aCore,
             instant aNow,
             request_properties const& aProperties,
             std::string_view aBody,
             admitted_request& aAdmitted);

/// True when the request, or a part of its prompt, has crashed too many servers
/// to be sent to one more.
bool
IsPoison(traffic_core& aCore, instant aNow, admitted_request const& aAdmitted);

/// Refunds the charge of an admitted request that is refused with a status
/// which promises that it has not run.
void
Refund(traffic_core& aCore,
       instant aNow,
       admitted_request const& aAdmitted,
       refusal_status aStatus);

}
