#include <LibPeer/RolloutCodec.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <optional>
#include <vector>

namespace lycheeseam {

namespace {

// The index of the longest pauses, after those of the times to the first event.
constexpr std::uint8_t kPauses = rollout_sample::kSizeClasses;

std::uint64_t
Milliseconds(duration aSpan)
{
  return static_cast<std::uint64_t>(
    std::chrono::duration_cast<std::chrono::milliseconds>(aSpan).count());
}

// A span from the wire; one beyond any rollout's is cut off, so that it can be
// counted in the clock's unit.
duration
ReadSpan(std::uint64_t aMilliseconds)
{
  constexpr std::uint64_t kMost = 1'000'000'000;
  return std::chrono::milliseconds{ std::min(aMilliseconds, kMost) };
}

void
AddTimes(std::vector<wire::TimeCount>& aTimes,
         std::uint8_t aHistogram,
         log_histogram const& aCounts)
{
  for (std::size_t bucket = 0; bucket < log_histogram::kBuckets; ++bucket) {
    if (aCounts.mCounts[bucket] != 0)
      aTimes.emplace_back(
        aHistogram, static_cast<std::uint8_t>(bucket), aCounts.mCounts[bucket]);
  }
}

std::optional<rollout_state>
DecodeState(wire::RolloutState const& aTable)
{
  bool const isKnown =
    aTable.phase() <= static_cast<std::uint8_t>(rollout_phase::RolledBack) &&
    aTable.reason() <= static_cast<std::uint8_t>(rollout_reason::Replaced) &&
    aTable.share() >= 0 && aTable.share() <= 1;
  if (!isKnown)
    return std::nullopt;
  return rollout_state{
    .mOrder = { .mPool = pool_name{ aTable.pool()->str() },
                .mTarget = software_version{ aTable.target()->str() },
                .mDuration = ReadSpan(aTable.duration_ms()),
                .mNumber = aTable.number() },
    .mPhase = static_cast<rollout_phase>(aTable.phase()),
    .mReason = static_cast<rollout_reason>(aTable.reason()),
    .mShare = aTable.share(),
    .mServers = aTable.servers(),
    .mRevision = aTable.revision(),
    .mElapsed = ReadSpan(aTable.elapsed_ms())
  };
}

std::optional<rollout_sample>
DecodeSample(wire::RolloutSample const& aTable)
{
  if (aTable.side() >= kRolloutSides)
    return std::nullopt;
  rollout_sample sample{ .mOrder = aTable.order(),
                         .mRoute = route_name{ aTable.route()->str() },
                         .mSide = static_cast<rollout_side>(aTable.side()),
                         .mAnswers = aTable.answers(),
                         .mFailures = aTable.failures(),
                         .mRunTime = ReadSpan(aTable.run_time_ms()) };
  if (aTable.times() == nullptr)
    return sample;
  for (wire::TimeCount const* const time : *aTable.times()) {
    if (time->histogram() > kPauses ||
        time->bucket() >= log_histogram::kBuckets)
      continue;
    log_histogram& counts = time->histogram() == kPauses
                              ? sample.mLongestPause
                              : sample.mFirstEvent[time->histogram()];
    counts.mCounts[time->bucket()] = time->count();
  }
  return sample;
}

}

flatbuffers::Offset<
  flatbuffers::Vector<flatbuffers::Offset<wire::RolloutState>>>
EncodeRollouts(flatbuffers::FlatBufferBuilder& aBuilder,
               std::span<rollout_notice const> aNotices)
{
  std::vector<flatbuffers::Offset<wire::RolloutState>> tables;
  tables.reserve(aNotices.size());
  for (rollout_notice const& notice : aNotices) {
    rollout_state const& state = notice.mState;
    tables.push_back(wire::CreateRolloutState(
      aBuilder,
      notice.mLease,
      aBuilder.CreateString(state.mOrder.mPool.Text()),
      aBuilder.CreateString(state.mOrder.mTarget.Text()),
      Milliseconds(state.mOrder.mDuration),
      state.mOrder.mNumber,
      static_cast<std::uint8_t>(state.mPhase),
      static_cast<std::uint8_t>(state.mReason),
      state.mShare,
      state.mServers,
      state.mRevision,
      Milliseconds(state.mElapsed)));
  }
  return aBuilder.CreateVector(tables);
}

flatbuffers::Offset<
  flatbuffers::Vector<flatbuffers::Offset<wire::RolloutSample>>>
EncodeSamples(flatbuffers::FlatBufferBuilder& aBuilder,
              std::span<rollout_sample const> aSamples)
{
  std::vector<flatbuffers::Offset<wire::RolloutSample>> tables;
  tables.reserve(aSamples.size());
  for (rollout_sample const& sample : aSamples) {
    std::vector<wire::TimeCount> times;
    for (std::uint8_t size = 0; size < rollout_sample::kSizeClasses; ++size)
      AddTimes(times, size, sample.mFirstEvent[size]);
    AddTimes(times, kPauses, sample.mLongestPause);
    tables.push_back(
      wire::CreateRolloutSample(aBuilder,
                                sample.mOrder,
                                aBuilder.CreateString(sample.mRoute.Text()),
                                static_cast<std::uint8_t>(sample.mSide),
                                sample.mAnswers,
                                sample.mFailures,
                                aBuilder.CreateVectorOfStructs(times),
                                Milliseconds(sample.mRunTime)));
  }
  return aBuilder.CreateVector(tables);
}

flatbuffers::Offset<flatbuffers::Vector<wire::RolloutDrain const*>>
EncodeDrained(flatbuffers::FlatBufferBuilder& aBuilder,
              std::span<rollout_drain const> aDrained)
{
  std::vector<wire::RolloutDrain> drained;
  drained.reserve(aDrained.size());
  for (rollout_drain const& drain : aDrained)
    drained.emplace_back(drain.mOrder, drain.mRevision);
  return aBuilder.CreateVectorOfStructs(drained);
}

void
DecodeRollouts(wire::FleetReport const& aTable, fleet_report& aReport)
{
  if (aTable.rollouts() != nullptr) {
    for (wire::RolloutState const* const table : *aTable.rollouts()) {
      if (std::optional<rollout_state> const state = DecodeState(*table))
        aReport.mRollouts.push_back(
          { .mLease = table->lease(), .mState = *state });
    }
  }
  if (aTable.rollout_samples() != nullptr) {
    for (wire::RolloutSample const* const table : *aTable.rollout_samples()) {
      if (std::optional<rollout_sample> const sample = DecodeSample(*table))
        aReport.mRolloutSamples.push_back(*sample);
    }
  }
  if (aTable.drained() != nullptr) {
    for (wire::RolloutDrain const* const drain : *aTable.drained())
      aReport.mDrained.push_back(
        { .mOrder = drain->order(), .mRevision = drain->revision() });
  }
}

}
