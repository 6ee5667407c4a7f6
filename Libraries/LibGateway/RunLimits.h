#pragma once

#include <LibGateway/AdmittedRequest.h>
#include <LibGateway/RunTrace.h>

/// \file What a request may still do, by its route and by what it has done.

namespace lycheeseam {

/// True when an attempt gets too little time to succeed.
bool
IsTooLate(admitted_request const& aRows, instant aNow);

/// True when a request that a server may have run may be sent to another one.
bool
MayRepeat(admitted_request const& aRows, run_trace const& aTrace, instant aNow);

/// True when a request that no server has run may be sent to another one.
bool
MaySendElsewhere(admitted_request const& aRows, run_trace const& aTrace);

/// True while waiting for a place on a server does no harm.
bool
MayWaitForPlace(admitted_request const& aRows,
                run_trace const& aTrace,
                instant aNow);

}
