#pragma once

#include <LibGateway/ServerPick.h>

#include <chrono>

/// \file How long refused callers are told to wait before another try.

namespace lycheeseam {

/// When nothing is known of the time until the request could run.
constexpr std::chrono::milliseconds kRetryAfter{ 200 };

/// For a request that has crashed too many servers to be sent again, and at
/// least for one with a part that has.
constexpr std::chrono::milliseconds kPoisonRetryAfter{ 2'000 };

/// For a request that continues a stream whose software no server runs any
/// more.
constexpr std::chrono::milliseconds kSoftwareGoneRetryAfter{ 2'000 };

/// When no server could be picked.
std::chrono::milliseconds
RetryAfter(server_pick const& aPick);

}
