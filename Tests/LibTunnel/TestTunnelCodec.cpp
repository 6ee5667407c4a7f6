#include <LibPeer/FrameHeader.h>
#include <LibTunnel/TunnelCodec.h>

#include <gtest/gtest.h>

namespace lycheeseam {

namespace {

std::span<std::uint8_t const>
Content(std::vector<std::uint8_t> const& aFrame)
{
  return std::span{ aFrame }.subspan(kFrameHeaderBytes);
}

tunnel_request
Request(tunnel_framing aFraming)
{
  return { .mServer = { .mServer = backend_server_id{ "engine-1" },
                        .mIncarnation = incarnation{ 7 } },
           .mFraming = aFraming };
}

TEST(TestTunnelCodec, RequestsAreReadAsTheyWereWritten)
{
  for (tunnel_framing const framing :
       { tunnel_framing::None, tunnel_framing::Frames }) {
    tunnel_request const request = Request(framing);
    std::vector<std::uint8_t> const frame = EncodeTunnelRequest(request);
    EXPECT_EQ(DecodeTunnelRequest(Content(frame)), request);
    EXPECT_LE(frame.size(), kMaxTunnelMessageBytes);
  }
}

TEST(TestTunnelCodec, AnswersAreReadAsTheyWereWritten)
{
  for (tunnel_result const result : { tunnel_result::Open,
                                      tunnel_result::Unreachable,
                                      tunnel_result::Unavailable,
                                      tunnel_result::Refused }) {
    for (tunnel_framing const framing :
         { tunnel_framing::None, tunnel_framing::Frames }) {
      tunnel_answer const answer{ .mResult = result, .mFraming = framing };
      EXPECT_EQ(DecodeTunnelAnswer(Content(EncodeTunnelAnswer(answer))),
                answer);
    }
  }
}

TEST(TestTunnelCodec, MalformedMessagesAreRefused)
{
  tunnel_request const request = Request(tunnel_framing::Frames);
  std::vector<std::uint8_t> const frame = EncodeTunnelRequest(request);
  // The last bytes may be padding, without which the message is complete.
  constexpr std::size_t kMaxPaddingBytes = 7;
  std::size_t const bytes = frame.size() - kFrameHeaderBytes;
  for (std::size_t size = 0; size < bytes; ++size) {
    std::optional<tunnel_request> const decoded =
      DecodeTunnelRequest(Content(frame).first(size));
    EXPECT_TRUE(!decoded || *decoded == request) << size;
    EXPECT_TRUE(!decoded || bytes - size <= kMaxPaddingBytes) << size;
  }
  std::vector<std::uint8_t> const noise(40, 0xff);
  EXPECT_FALSE(DecodeTunnelRequest(noise));
  EXPECT_FALSE(DecodeTunnelAnswer(noise));
}

}

}
