#pragma once

#include <LibPlatform/AppendResult.h>
#include <LibPlatform/LogRange.h>
#include <LibPlatform/ReadResult.h>

#include <functional>
#include <optional>

namespace lycheeseam {

/// Receives the result of an append; runs once.
using append_callback = std::function<void(append_result const&)>;

/// Receives the result of a read; runs once.
using read_callback = std::function<void(read_result const&)>;

/// Receives the log's range, or nothing when the log is unavailable; runs once.
using range_callback = std::function<void(std::optional<log_range> const&)>;

}
