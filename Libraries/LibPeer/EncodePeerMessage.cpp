#include <LibPeer/EncodeBlockMessage.h>
#include <LibPeer/EncodeBudgetMessage.h>
#include <LibPeer/EncodeFleetMessage.h>
#include <LibPeer/FrameHeader.h>
#include <LibPeer/HelloCodec.h>
#include <LibPeer/PeerCodec.h>

#include <algorithm>

namespace lycheeseam {

namespace {

wire::Digest
EncodeDigest(digest const& aDigest)
{
  return wire::Digest{ flatbuffers::span<std::uint8_t const, digest::kBytes>(
    aDigest.Bytes().data(), digest::kBytes) };
}

std::uint64_t
Milliseconds(std::chrono::milliseconds aSpan)
{
  return static_cast<std::uint64_t>(
    std::max(aSpan, std::chrono::milliseconds{ 0 }).count());
}

std::uint32_t
CappedMilliseconds(std::chrono::milliseconds aSpan)
{
  constexpr std::uint64_t kMaxMilliseconds =
    std::numeric_limits<std::uint32_t>::max();
  return static_cast<std::uint32_t>(
    std::min(Milliseconds(aSpan), kMaxMilliseconds));
}

// Builds the table of each kind of message.
class body_encoder
{
public:
  explicit body_encoder(flatbuffers::FlatBufferBuilder& aBuilder)
    : mBuilder(aBuilder)
  {
  }

  encoded_body operator()(peer_hello const& aHello)
  {
    return MakeBody(wire::Body::Hello, EncodeHello(mBuilder, aHello));
  }

  encoded_body operator()(peer_heartbeat const& aHeartbeat)
  {
    std::vector<wire::DomainSign> domains;
    for (domain_observation const& observation : aHeartbeat.mDomains)
      domains.emplace_back(
        static_cast<std::uint32_t>(observation.mDomain.Value()),
        CappedMilliseconds(observation.mAge));
    tail_observation const tail = aHeartbeat.mTail.value_or(tail_observation{});
    instant const echo = aHeartbeat.mEcho.value_or(instant{});
    return MakeBody(
      wire::Body::Heartbeat,
      wire::CreateHeartbeat(mBuilder,
                            aHeartbeat.mAnswer == heartbeat_answer::Wanted,
                            aHeartbeat.mIsLeaving,
                            aHeartbeat.mSentAt.time_since_epoch().count(),
                            echo.time_since_epoch().count(),
                            aHeartbeat.mApplied.Value(),
                            tail.mTail.Value(),
                            CappedMilliseconds(tail.mAge),
                            mBuilder.CreateVectorOfStructs(domains)));
  }

  encoded_body operator()(snapshot_request const& aRequest)
  {
    return MakeBody(
      wire::Body::SnapshotRequest,
      wire::CreateSnapshotRequest(mBuilder, aRequest.mNumber.Value()));
  }

  encoded_body operator()(snapshot_answer const& aAnswer)
  {
    return MakeBody(wire::Body::SnapshotAnswer,
                    wire::CreateSnapshotAnswer(mBuilder,
                                               aAnswer.mNumber.Value(),
                                               aAnswer.mOffset.Value(),
                                               Text(aAnswer.mState)));
  }

  encoded_body operator()(log_relay const& aRelay)
  {
    std::vector<flatbuffers::Offset<wire::RelayedEntry>> entries;
    for (relayed_entry const& entry : aRelay.mEntries)
      entries.push_back(wire::CreateRelayedEntry(
        mBuilder, entry.mOffset.Value(), Text(entry.mRecord)));
    return MakeBody(
      wire::Body::LogRelay,
      wire::CreateLogRelay(mBuilder, mBuilder.CreateVector(entries)));
  }

  encoded_body operator()(key_withdrawal const& aWithdrawal)
  {
    wire::Digest const key = EncodeDigest(aWithdrawal.mKey);
    return MakeBody(
      wire::Body::KeyWithdrawal,
      wire::CreateKeyWithdrawal(mBuilder, &key, aWithdrawal.mOffset.Value()));
  }

  encoded_body operator()(poison_notice const& aNotice)
  {
    wire::Digest const fingerprint = EncodeDigest(aNotice.mFingerprint);
    return MakeBody(
      wire::Body::PoisonNotice,
      wire::CreatePoisonNotice(mBuilder,
                               &fingerprint,
                               Text(aNotice.mServer.Text()),
                               aNotice.mIncarnation.Value(),
                               Milliseconds(aNotice.mExpiresAfter)));
  }

  encoded_body operator()(drain_notice const& aNotice)
  {
    return MakeBody(
      wire::Body::DrainNotice,
      wire::CreateDrainNotice(mBuilder, Milliseconds(aNotice.mAcceptsFor)));
  }

  encoded_body operator()(budget_message const& aMessage)
  {
    return EncodeBudgetMessage(mBuilder, aMessage);
  }

  encoded_body operator()(block_message const& aMessage)
  {
    return EncodeBlockMessage(mBuilder, aMessage);
  }

  encoded_body operator()(fleet_message const& aMessage)
  {
    return EncodeFleetMessage(mBuilder, aMessage);
  }

private:
  flatbuffers::Offset<flatbuffers::String> Text(std::string const& aText)
  {
    return mBuilder.CreateString(aText);
  }

  flatbuffers::FlatBufferBuilder& mBuilder;
};

}

encoded_frame
EncodePeerMessage(peer_message const& aMessage)
{
  flatbuffers::FlatBufferBuilder builder;
  encoded_body const body = std::visit(body_encoder{ builder }, aMessage);
  wire::FinishEnvelopeBuffer(
    builder, wire::CreateEnvelope(builder, body.mType, body.mTable));

  std::uint32_t const length = builder.GetSize();
  std::array<std::uint8_t, kFrameHeaderBytes> const header =
    EncodeFrameHeader(length);
  std::vector<std::uint8_t> frame;
  frame.reserve(header.size() + length);
  frame.insert(frame.end(), header.begin(), header.end());
  frame.insert(frame.end(),
               builder.GetBufferPointer(),
               builder.GetBufferPointer() + length);
  return std::make_shared<std::vector<std::uint8_t> const>(std::move(frame));
}

}
