#pragma once

#include <LibPlatform/AppendResult.h>
#include <LibPlatform/LogRange.h>
#include <LibPlatform/ReadResult.h>

#include <functional>
#include <optional>

namespace lycheeseam {

/// Takes the end of an append, once.
using append_callback = std::function<void(append_result const&)>;

/// Takes the end of a read, once.
using read_callback = std::function<void(read_result const&)>;

/// Takes the log's range, or nothing when the log is unavailable, once.
using range_callback = std::function<void(std::optional<log_range> const&)>;

}
