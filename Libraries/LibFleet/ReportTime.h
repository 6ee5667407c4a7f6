#pragma once

#include <LibCore/Instant.h>

#include <chrono>

namespace lycheeseam {

/// A report takes some time, so the same observation looks younger each time it
/// is reported, by up to this much.
constexpr duration kReportTime = std::chrono::milliseconds{ 250 };

}
