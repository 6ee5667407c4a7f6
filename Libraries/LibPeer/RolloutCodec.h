#pragma once

#include <LibPeer/FleetReport.h>

#include <PeerMessage_generated.h>

#include <span>

/// \file The parts of a report that are about rollouts of server software.

namespace lycheeseam {

flatbuffers::Offset<
  flatbuffers::Vector<flatbuffers::Offset<wire::RolloutState>>>
EncodeRollouts(flatbuffers::FlatBufferBuilder& aBuilder,
               std::span<rollout_notice const> aNotices);

flatbuffers::Offset<
  flatbuffers::Vector<flatbuffers::Offset<wire::RolloutSample>>>
EncodeSamples(flatbuffers::FlatBufferBuilder& aBuilder,
              std::span<rollout_sample const> aSamples);

flatbuffers::Offset<flatbuffers::Vector<wire::RolloutDrain const*>>
EncodeDrained(flatbuffers::FlatBufferBuilder& aBuilder,
              std::span<rollout_drain const> aDrained);

/// Adds these parts to a report. Skips what an older build doesn't send, and
/// entries with values that only a newer one knows.
void
DecodeRollouts(wire::FleetReport const& aTable, fleet_report& aReport);

}
