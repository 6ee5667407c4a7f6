#pragma once

#include <LibPeer/TopicRelay.h>

#include <span>
#include <vector>

namespace lycheeseam {

/// Divides records that a peer lacks, in the order of their positions, into
/// relays of up to 64 kB that cover the range from aFrom to aEnd, so that other
/// messages don't wait for all of them. A longer record is a relay of its own.
std::vector<topic_relay>
MakeRelayPieces(store_topic aTopic,
                store_position aFrom,
                store_position aEnd,
                std::span<keyed_record const> aRecords);

}
