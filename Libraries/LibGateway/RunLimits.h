#pragma once

#include <LibGateway/AdmittedRequest.h>
#include <LibGateway/RunTrace.h>

#include <chrono>
#include <cstdint>

/// \file What a request may still do, by its route and by what it has done.

namespace lycheeseam {

/// True when the time left is too short for an attempt to succeed.
bool
IsTooLate(admitted_request const& aAdmitted, instant aNow);

/// True when a request that aRuns servers may have run may be sent to another
/// server.
bool
MayRetry(admitted_request const& aAdmitted, std::uint32_t aRuns, instant aNow);

/// True when a request that no server has run may be sent to another server.
bool
MayTryAnotherServer(admitted_request const& aAdmitted, run_trace const& aTrace);

/// How often a request looks for a server with free capacity.
constexpr std::chrono::milliseconds kCapacityCheckInterval{ 15 };

/// True while waiting for free capacity on a server does no harm.
bool
MayWaitForCapacity(admitted_request const& aAdmitted,
                   run_trace const& aTrace,
                   instant aNow);

}
