#pragma once

#include <chrono>

namespace lycheeseam {

/// How long a connection to a backend server may take to open. In a healthy
/// site that takes a few milliseconds. A lost packet would be sent again only
/// after a second, when another server is the better choice.
inline constexpr std::chrono::milliseconds kServerConnectTimeout{ 300 };

}
