#pragma once

#include <LibDispatch/ObservedLimit.h>
#include <LibPeer/LimitNotice.h>

#include <span>
#include <vector>

/// \file Conversion between observed limits and what instances report of them.

namespace lycheeseam {

std::vector<limit_notice>
MakeLimitNotices(instant aNow, std::span<observed_limit const> aObserved);

std::vector<observed_limit>
ReadLimitNotices(instant aNow, std::span<limit_notice const> aNotices);

}
