#pragma once

#include <LibCore/Identifiers.h>
#include <LibTrace/TraceSpan.h>

#include <span>
#include <string>

namespace lycheeseam {

/// Encodes the body of an OTLP/HTTP JSON export request (opentelemetry-proto
/// 1.0, ExportTraceServiceRequest) for spans recorded on one instance.
std::string
EncodeOtlp(std::span<trace_span const> aSpans,
           instance_id const& aInstance,
           failure_domain const& aFailureDomain);

}
