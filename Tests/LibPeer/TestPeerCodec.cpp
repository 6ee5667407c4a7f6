#include <LibPeer/FrameHeader.h>
#include <LibPeer/PeerCodec.h>

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace lycheeseam {
namespace {

using std::chrono::milliseconds;

std::vector<peer_message>
OneOfEach()
{
  digest const hash = digest::Of("x");
  return {
    peer_hello{ .mLife = { .mInstance = instance_id{ "entry-1" },
                           .mIncarnation = incarnation{ 7 } },
                .mFailureDomain = failure_domain{ "riga-2" },
                .mCallers = endpoint::Parse("10.0.0.1:8080"),
                .mPeers = endpoint::Parse("[::1]:8082") },
    peer_heartbeat{ .mAnswer = heartbeat_answer::Wanted,
                    .mIsLeaving = true,
                    .mApplied = log_offset{ 5 },
                    .mTail = log_offset{ 6 },
                    .mTailAge = milliseconds{ 70 } },
    snapshot_request{ .mNumber = snapshot_number{ 3 } },
    snapshot_answer{ .mNumber = snapshot_number{ 3 },
                     .mOffset = log_offset{ 9 },
                     .mState = std::string(100000, 's') },
    log_relay{ .mEntries = { { .mOffset = log_offset{ 1 }, .mRecord = "a" },
                             { .mOffset = log_offset{ 2 }, .mRecord = "" } },
               .mTail = log_offset{ 2 },
               .mTailAge = milliseconds{ 1 } },
    log_relay{},
    key_withdrawal{ .mKey = hash, .mOffset = log_offset{ 4 } },
    poison_notice{ .mFingerprint = hash,
                   .mServer = backend_server_id{ "w1" },
                   .mIncarnation = incarnation{ 2 },
                   .mLapse = milliseconds{ 60000 } },
    drain_notice{ .mAcceptsFor = milliseconds{ 10000 } },
  };
}

std::span<std::uint8_t const>
ContentOf(encoded_frame const& aFrame)
{
  return std::span{ *aFrame }.subspan(kFrameHeaderBytes);
}

TEST(TestPeerCodec, EachMessageComesBackTheSame)
{
  for (peer_message const& message : OneOfEach()) {
    encoded_frame const frame = EncodePeerMessage(message);
    EXPECT_EQ(DecodePeerMessage(ContentOf(frame)), message)
      << "kind " << message.index();
  }
}

TEST(TestPeerCodec, NoKindIsLeftOut)
{
  std::set<std::size_t> kinds;
  for (peer_message const& message : OneOfEach())
    kinds.insert(message.index());
  EXPECT_EQ(kinds.size(), std::variant_size_v<peer_message>);
}

TEST(TestPeerCodec, AnyBytesDecodeOrAreRefused)
{
  rc::check(
    [](std::vector<std::uint8_t> const& aBytes) { DecodePeerMessage(aBytes); });
}

// Changes a few bytes of good messages, so that the checks behind the first
// ones are reached too.
TEST(TestPeerCodec, ChangedMessagesDecodeOrAreRefused)
{
  std::vector<peer_message> const messages = OneOfEach();
  rc::check([&messages]() {
    peer_message const& message = *rc::gen::elementOf(messages);
    encoded_frame const frame = EncodePeerMessage(message);
    std::span<std::uint8_t const> const content = ContentOf(frame);
    std::vector<std::uint8_t> changed{ content.begin(), content.end() };
    int const changes = *rc::gen::inRange(1, 6);
    for (int i = 0; i < changes; ++i)
      changed[*rc::gen::inRange<std::size_t>(0, changed.size())] =
        *rc::gen::arbitrary<std::uint8_t>();
    changed.resize(*rc::gen::inRange<std::size_t>(0, changed.size() + 1));
    DecodePeerMessage(changed);
  });
}

TEST(TestPeerCodec, RefusesAHelloWithoutAnIpNumber)
{
  peer_hello hello = std::get<peer_hello>(OneOfEach().front());
  hello.mPeers.mAddress = "localhost";
  encoded_frame const frame = EncodePeerMessage(hello);
  EXPECT_FALSE(DecodePeerMessage(ContentOf(frame)).has_value());
}

}
}
