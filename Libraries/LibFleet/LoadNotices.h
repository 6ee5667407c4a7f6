#pragma once

#include <LibDispatch/ObservedLoad.h>
#include <LibPeer/LoadNotice.h>

#include <cstddef>
#include <span>
#include <vector>

/// \file Conversion between observed loads and what instances report of them.

namespace lycheeseam {

/// The most loads in one report: 1,600 of the 2,048 bytes that it may use for
/// them.
constexpr std::size_t kMaxLoadNotices = 100;

/// The newest observation of each server, the newest of all first, at most
/// kMaxLoadNotices and none that no longer counts.
std::vector<load_notice>
MakeLoadNotices(instant aNow, std::span<observed_load const> aObserved);

std::vector<observed_load>
ReadLoadNotices(instant aNow, std::span<load_notice const> aNotices);

}
