#pragma once

#include <LibDispatch/RequestProperties.h>
#include <LibGateway/AdmittedRequest.h>
#include <LibGateway/RequestRefusal.h>
#include <LibGateway/TrafficCore.h>

#include <optional>
#include <string_view>

namespace lycheeseam {

/// Finds the rows that a request runs under and charges its workspace. Fills
/// aAdmitted as far as it gets; a refusal says why it got no further.
std::optional<request_refusal>
AdmitRequest(traffic_core& aCore,
             instant aNow,
             request_properties const& aProperties,
             std::string_view aBody,
             admitted_request& aAdmitted);

}
