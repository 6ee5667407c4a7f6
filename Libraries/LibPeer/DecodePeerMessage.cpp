#include <LibCore/InvalidInput.h>
#include <LibPeer/PeerCodec.h>

#include <PeerMessage_generated.h>

#include <cstring>

namespace lycheeseam {

namespace {

// FlatBuffers are read in place and need this alignment.
constexpr std::size_t kAlignment = alignof(std::uint64_t);

digest
DecodeDigest(wire::Digest const& aDigest)
{
  return digest::FromBytes(std::span<std::uint8_t const, digest::kBytes>{
    aDigest.bytes()->data(), digest::kBytes });
}

std::chrono::milliseconds
Milliseconds(std::uint64_t aCount)
{
  // Beyond a year nothing differs, and sums with it can't overflow.
  constexpr std::uint64_t kMost = 366ULL * 24 * 3600 * 1000;
  return std::chrono::milliseconds{ std::min(aCount, kMost) };
}

peer_message
Decode(wire::Hello const& aHello)
{
  return peer_hello{
    .mVersion = aHello.version(),
    .mLife = { .mInstance = instance_id{ aHello.instance()->str() },
               .mIncarnation = incarnation{ aHello.incarnation() } },
    .mFailureDomain = failure_domain{ aHello.failure_domain()->str() },
    .mCallers = endpoint::Parse(aHello.callers()->string_view()),
    .mPeers = endpoint::Parse(aHello.peers()->string_view())
  };
}

peer_message
Decode(wire::Heartbeat const& aBeat)
{
  return peer_heartbeat{ .mAnswer = aBeat.wants_answer()
                                      ? heartbeat_answer::Wanted
                                      : heartbeat_answer::NotWanted,
                         .mIsLeaving = aBeat.leaving(),
                         .mApplied = log_offset{ aBeat.applied() },
                         .mTail = log_offset{ aBeat.tail() },
                         .mTailAge = Milliseconds(aBeat.tail_age_ms()) };
}

peer_message
Decode(wire::SnapshotRequest const& aRequest)
{
  return snapshot_request{ .mNumber = snapshot_number{ aRequest.number() } };
}

peer_message
Decode(wire::SnapshotAnswer const& aAnswer)
{
  return snapshot_answer{ .mNumber = snapshot_number{ aAnswer.number() },
                          .mOffset = log_offset{ aAnswer.offset() },
                          .mState = aAnswer.state()->str() };
}

peer_message
Decode(wire::LogRelay const& aRelay)
{
  log_relay relay{ .mTail = log_offset{ aRelay.tail() },
                   .mTailAge = Milliseconds(aRelay.tail_age_ms()) };
  for (wire::RelayedEntry const* const entry : *aRelay.entries())
    relay.mEntries.push_back({ .mOffset = log_offset{ entry->offset() },
                               .mRecord = entry->record()->str() });
  return relay;
}

peer_message
Decode(wire::KeyWithdrawal const& aWithdrawal)
{
  return key_withdrawal{ .mKey = DecodeDigest(*aWithdrawal.key()),
                         .mOffset = log_offset{ aWithdrawal.offset() } };
}

peer_message
Decode(wire::PoisonNotice const& aNotice)
{
  return poison_notice{ .mFingerprint = DecodeDigest(*aNotice.fingerprint()),
                        .mServer = backend_server_id{ aNotice.server()->str() },
                        .mIncarnation = incarnation{ aNotice.incarnation() },
                        .mLapse = Milliseconds(aNotice.lapse_ms()) };
}

peer_message
Decode(wire::DrainNotice const& aNotice)
{
  return drain_notice{ .mAcceptsFor = Milliseconds(aNotice.accepts_for_ms()) };
}

std::optional<peer_message>
DecodeBody(wire::Envelope const& aEnvelope)
{
  switch (aEnvelope.body_type()) {
    case wire::Body::Hello:
      return Decode(*aEnvelope.body_as_Hello());
    case wire::Body::Heartbeat:
      return Decode(*aEnvelope.body_as_Heartbeat());
    case wire::Body::SnapshotRequest:
      return Decode(*aEnvelope.body_as_SnapshotRequest());
    case wire::Body::SnapshotAnswer:
      return Decode(*aEnvelope.body_as_SnapshotAnswer());
    case wire::Body::LogRelay:
      return Decode(*aEnvelope.body_as_LogRelay());
    case wire::Body::KeyWithdrawal:
      return Decode(*aEnvelope.body_as_KeyWithdrawal());
    case wire::Body::PoisonNotice:
      return Decode(*aEnvelope.body_as_PoisonNotice());
    case wire::Body::DrainNotice:
      return Decode(*aEnvelope.body_as_DrainNotice());
    case wire::Body::NONE:
      break;
  }
  // The verifier lets types pass that it doesn't know.
  return std::nullopt;
}

}

std::optional<peer_message>
DecodePeerMessage(std::span<std::uint8_t const> aContent)
{
  // The content stands anywhere in a stream's bytes, so it is copied to where
  // its numbers are aligned.
  std::vector<std::uint64_t> aligned(aContent.size() / kAlignment + 1);
  std::memcpy(aligned.data(), aContent.data(), aContent.size());
  auto const* const bytes =
    reinterpret_cast<std::uint8_t const*>(aligned.data());
  flatbuffers::Verifier verifier{ bytes, aContent.size() };
  if (!wire::VerifyEnvelopeBuffer(verifier))
    return std::nullopt;
  try {
    return DecodeBody(*wire::GetEnvelope(bytes));
  } catch (invalid_input const&) {
    return std::nullopt;
  }
}

}
