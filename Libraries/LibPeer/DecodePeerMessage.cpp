#include <LibCore/InvalidInput.h>
#include <LibPeer/DecodeBlockMessage.h>
#include <LibPeer/DecodeBudgetMessage.h>
#include <LibPeer/DecodeFleetMessage.h>
#include <LibPeer/HelloCodec.h>
#include <LibPeer/PeerCodec.h>

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
  // Durations beyond a year have the same effect as a year; the limit keeps
  // sums with them from overflowing.
  constexpr std::uint64_t kMaxMilliseconds = 366ULL * 24 * 3600 * 1000;
  return std::chrono::milliseconds{ std::min(aCount, kMaxMilliseconds) };
}

peer_message
Decode(wire::Hello const& aHello)
{
  return DecodeHello(aHello);
}

peer_message
Decode(wire::Heartbeat const& aHeartbeat)
{
  peer_heartbeat heartbeat{ .mAnswer = aHeartbeat.wants_answer()
                                         ? heartbeat_answer::Wanted
                                         : heartbeat_answer::NotWanted,
                            .mIsLeaving = aHeartbeat.leaving(),
                            .mSentAt =
                              instant{ duration{ aHeartbeat.sent_at_ns() } },
                            .mApplied = log_offset{ aHeartbeat.applied() } };
  if (aHeartbeat.echo_ns() != 0)
    heartbeat.mEcho = instant{ duration{ aHeartbeat.echo_ns() } };
  if (aHeartbeat.tail() != 0)
    heartbeat.mTail =
      tail_observation{ .mTail = log_offset{ aHeartbeat.tail() },
                        .mAge = Milliseconds(aHeartbeat.tail_age_ms()) };
  for (wire::DomainSign const* const observation : *aHeartbeat.domains())
    heartbeat.mDomains.push_back(
      { .mDomain = domain_code{ observation->domain() },
        .mAge = Milliseconds(observation->age_ms()) });
  return heartbeat;
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
  log_relay relay;
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
                        .mExpiresAfter = Milliseconds(aNotice.lapse_ms()) };
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
    case wire::Body::TokenRequest:
      return DecodeBudgetMessage(*aEnvelope.body_as_TokenRequest());
    case wire::Body::TokenGrant:
      return DecodeBudgetMessage(*aEnvelope.body_as_TokenGrant());
    case wire::Body::TokenRefund:
      return DecodeBudgetMessage(*aEnvelope.body_as_TokenRefund());
    case wire::Body::TokenReport:
      return DecodeBudgetMessage(*aEnvelope.body_as_TokenReport());
    case wire::Body::StandingProbe:
      return DecodeBudgetMessage(*aEnvelope.body_as_StandingProbe());
    case wire::Body::StandingWord:
      return DecodeBudgetMessage(*aEnvelope.body_as_StandingWord());
    case wire::Body::BlockLookup:
      return DecodeBlockMessage(*aEnvelope.body_as_BlockLookup());
    case wire::Body::BlockAnswer:
      return DecodeBlockMessage(*aEnvelope.body_as_BlockAnswer());
    case wire::Body::BlockUpdate:
      return DecodeBlockMessage(*aEnvelope.body_as_BlockUpdate());
    case wire::Body::FleetReport:
      return DecodeFleetMessage(*aEnvelope.body_as_FleetReport());
    case wire::Body::FleetRoster:
      return DecodeFleetMessage(*aEnvelope.body_as_FleetRoster());
    case wire::Body::TopicRelay:
      return DecodeFleetMessage(*aEnvelope.body_as_TopicRelay());
    case wire::Body::NONE:
      break;
  }
  // The verifier accepts types that it doesn't know.
  return std::nullopt;
}

}

std::optional<peer_message>
DecodePeerMessage(std::span<std::uint8_t const> aContent)
{
  // The content may start at any address, so it is copied to memory where its
  // numbers are aligned.
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
